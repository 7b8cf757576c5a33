package org.lacewingthread.standin;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Finds violations in the journals of several {@link BackendServerStandIn}s: requests that ran more than
 * once, and shards that two servers served at once. All servers must run on one machine, because the
 * times of a journal are those of the machine's monotonic clock.
 *
 * <pre>{@code
 * List<Run> runs = servers.stream().flatMap(server -> server.runs().stream()).toList();
 * List<LeasePeriod> leases = servers.stream().flatMap(server -> server.leasePeriods().stream()).toList();
 * assertThat(HistoryCheck.repeatedRuns(runs)).isEmpty();
 * assertThat(HistoryCheck.overlappingLeases(leases)).isEmpty();
 * assertThat(HistoryCheck.overlappingRuns(runs)).isEmpty();
 * }</pre>
 */
public final class HistoryCheck {
    private HistoryCheck() {}

    /**
     * Two or more runs of one request or of one idempotency key.
     *
     * @param id the idempotency key, or the request id if there is no key
     * @param runs the runs, in the order of their start
     */
    public record RepeatedRun(String id, List<Run> runs) {}

    /**
     * Two runs of a shard that overlap in time on different servers.
     *
     * @param first the run that started first
     * @param second the run that started later
     */
    public record OverlappingRuns(Run first, Run second) {}

    /**
     * Two leases on a shard that overlap in time on different servers.
     *
     * @param first the lease that began first
     * @param second the lease that began later
     */
    public record OverlappingLeases(LeasePeriod first, LeasePeriod second) {}

    /** Returns the idempotency keys, or request ids of requests without a key, that ran more than once. */
    public static List<RepeatedRun> repeatedRuns(Collection<Run> runs) {
        Map<String, List<Run>> byId = runs.stream()
                .filter(run -> idOf(run) != null)
                .sorted(Comparator.comparingLong(Run::startMicros))
                .collect(Collectors.groupingBy(HistoryCheck::idOf, TreeMap::new, Collectors.toList()));
        return byId.entrySet().stream()
                .filter(entry -> entry.getValue().size() > 1)
                .map(entry -> new RepeatedRun(entry.getKey(), entry.getValue()))
                .toList();
    }

    private static String idOf(Run run) {
        return run.idempotencyKey() == null ? run.requestId() : run.idempotencyKey();
    }

    /** Returns the pairs of runs of one shard that overlap in time on different servers. */
    public static List<OverlappingRuns> overlappingRuns(Collection<Run> runs) {
        List<Run> runsWithShard =
                runs.stream().filter(run -> run.shard() != null).toList();
        List<Span<Run>> spans = runsWithShard.stream()
                .map(run -> new Span<>(run, run.server(), run.shard(), run.startMicros(), endOf(run)))
                .toList();
        return overlaps(spans, OverlappingRuns::new);
    }

    private static long endOf(Run run) {
        return run.hasEnded() ? run.endMicros() : Long.MAX_VALUE;
    }

    /** Returns the pairs of leases on one shard that overlap in time on different servers. */
    public static List<OverlappingLeases> overlappingLeases(Collection<LeasePeriod> leases) {
        List<Span<LeasePeriod>> spans = leases.stream()
                .map(lease -> new Span<>(lease, lease.server(), lease.shard(), lease.fromMicros(), lease.untilMicros()))
                .toList();
        return overlaps(spans, OverlappingLeases::new);
    }

    /** A run or lease of one shard on one server, with its time span; the end is exclusive. */
    private record Span<T>(T subject, String server, String shard, long fromMicros, long untilMicros) {}

    private interface Pairing<T, R> {
        R pair(T first, T second);
    }

    private static <T, R> List<R> overlaps(List<Span<T>> spans, Pairing<T, R> pairing) {
        Map<String, List<Span<T>>> byShard = spans.stream().collect(Collectors.groupingBy(Span::shard));
        List<R> found = new ArrayList<>();
        for (List<Span<T>> ofShard : byShard.values()) {
            collectOverlaps(ofShard, pairing, found);
        }
        return found;
    }

    private static <T, R> void collectOverlaps(List<Span<T>> ofShard, Pairing<T, R> pairing, List<R> found) {
        List<Span<T>> ordered = new ArrayList<>(ofShard);
        ordered.sort(Comparator.comparingLong(Span::fromMicros));
        List<Span<T>> open = new ArrayList<>();
        for (Span<T> next : ordered) {
            open.removeIf(earlier -> earlier.untilMicros() <= next.fromMicros());
            open.stream()
                    .filter(earlier -> !earlier.server().equals(next.server()))
                    .forEach(earlier -> found.add(pairing.pair(earlier.subject(), next.subject())));
            open.add(next);
        }
    }
}
