package org.lacewingthread.daemon.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.standin.Run;

/** Checks the answers that callers got against the runs that backend servers recorded. */
final class DemoReport {
    /** Longest time that a key may be unavailable after the loss of a server or an entry VM. */
    static final long RECOVERY_TARGET_MILLIS = 2_000;

    private final List<Attempt> attempts;
    private final List<Run> runs;

    DemoReport(List<Attempt> attempts, List<Run> runs) {
        this.attempts = List.copyOf(attempts);
        this.runs = List.copyOf(runs);
    }

    /** Prints the results of the attempts that were sent in a period, and how long a key was unavailable. */
    void printPhase(PrintStream out, long fromMillis, long toMillis) {
        Map<String, Long> byResult = new TreeMap<>();
        attempts.stream()
                .filter(attempt -> attempt.sentMillis() >= fromMillis && attempt.sentMillis() < toMillis)
                .forEach(attempt -> byResult.merge(resultOf(attempt), 1L, Long::sum));
        byResult.forEach((result, count) -> out.printf("    %-28s %d%n", result, count));
        out.printf("    longest unavailable time of a key: %d ms%n", unavailableMillis(fromMillis, toMillis));
    }

    private static String resultOf(Attempt attempt) {
        return ResultCode.byNumber(attempt.code())
                .map(Enum::toString)
                .orElse(attempt.knowledge() == ResultCode.Knowledge.NOT_RUN ? "NO CONNECTION" : "CONNECTION LOST");
    }

    /**
     * Returns the longest time that any key was unavailable in a period: from its first failed attempt to its next
     * successful answer, or the duration of a successful attempt.
     */
    long unavailableMillis(long fromMillis, long toMillis) {
        Map<String, List<Attempt>> byKey = attempts.stream()
                .filter(attempt -> attempt.sentMillis() >= fromMillis && attempt.sentMillis() < toMillis)
                .collect(Collectors.groupingBy(attempt -> attempt.request().key()));
        return byKey.values().stream()
                .mapToLong(DemoReport::unavailableMillis)
                .max()
                .orElse(0);
    }

    private static long unavailableMillis(List<Attempt> ofKey) {
        List<Attempt> sorted = new ArrayList<>(ofKey);
        sorted.sort(Comparator.comparingLong(Attempt::endMillis));
        long longestMillis = 0;
        long failedSinceMillis = -1;
        for (Attempt attempt : sorted) {
            if (attempt.code() == 0) {
                // A load balancer sends only to entry VMs that listen, so a failed connection is no failure of the key.
                continue;
            }
            if (!attempt.isDone() && failedSinceMillis < 0) {
                failedSinceMillis = attempt.sentMillis();
            } else if (attempt.isDone() && failedSinceMillis >= 0) {
                longestMillis = Math.max(longestMillis, attempt.endMillis() - failedSinceMillis);
                failedSinceMillis = -1;
            } else if (attempt.isDone()) {
                longestMillis = Math.max(longestMillis, attempt.endMillis() - attempt.sentMillis());
            }
        }
        return longestMillis;
    }

    /** Returns a description of each violated guarantee; empty if all held. */
    List<String> violations(long fromMillis, long toMillis) {
        List<String> violations = new ArrayList<>();
        addRepeatedRuns(violations);
        addRunsReportedAsNotRun(violations);
        addMismatchedAnswers(violations);
        addConcurrentShardRuns(violations);
        long unavailable = unavailableMillis(fromMillis, toMillis);
        if (unavailable > RECOVERY_TARGET_MILLIS) {
            violations.add("a key was unavailable for " + unavailable + " ms, more than " + RECOVERY_TARGET_MILLIS);
        }
        return violations;
    }

    private void addRepeatedRuns(List<String> violations) {
        runs.stream()
                .filter(run -> run.idempotencyKey() != null)
                .collect(Collectors.groupingBy(Run::idempotencyKey, Collectors.counting()))
                .forEach((key, count) -> {
                    if (count > 1) {
                        violations.add("request \"" + key + "\" ran " + count + " times");
                    }
                });
    }

    private void addRunsReportedAsNotRun(List<String> violations) {
        Set<String> ran = runs.stream()
                .filter(run -> run.idempotencyKey() != null)
                .map(Run::idempotencyKey)
                .collect(Collectors.toSet());
        Map<String, List<Attempt>> byKey = attempts.stream()
                .filter(attempt -> attempt.request().idempotencyKey().isPresent())
                .collect(Collectors.groupingBy(
                        attempt -> attempt.request().idempotencyKey().get()));
        byKey.forEach((key, ofKey) -> {
            boolean allNotRun = ofKey.stream().allMatch(a -> a.knowledge() == ResultCode.Knowledge.NOT_RUN);
            if (allNotRun && ran.contains(key)) {
                violations.add("request \"" + key + "\" ran although its caller was told that it did not");
            }
        });
    }

    private void addMismatchedAnswers(List<String> violations) {
        attempts.stream()
                .filter(attempt -> attempt.isDone() && !attempt.bodyMatches())
                .forEach(attempt -> violations.add(
                        "request " + attempt.request().path() + " got an answer whose body does not name that path"));
    }

    private void addConcurrentShardRuns(List<String> violations) {
        Map<String, List<Run>> byShard = runs.stream()
                .filter(run -> run.shard() != null && run.hasEnded())
                .collect(Collectors.groupingBy(Run::shard));
        byShard.forEach((shard, ofShard) -> {
            List<Run> sorted = new ArrayList<>(ofShard);
            sorted.sort(Comparator.comparingLong(Run::startMicros));
            Map<String, Long> endMicros = new HashMap<>();
            for (Run run : sorted) {
                endMicros.forEach((server, end) -> {
                    if (!server.equals(run.server()) && end > run.startMicros()) {
                        violations.add(
                                "shard \"" + shard + "\" ran on " + server + " and " + run.server() + " at once");
                    }
                });
                endMicros.merge(run.server(), run.endMicros(), Math::max);
            }
        });
    }

    /** Returns the number of shards that ran on more than one backend server. */
    long movedShardCount() {
        Map<String, Set<String>> servers = new HashMap<>();
        runs.stream().filter(run -> run.shard() != null).forEach(run -> servers.computeIfAbsent(
                        run.shard(), s -> new HashSet<>())
                .add(run.server()));
        return servers.values().stream().filter(set -> set.size() > 1).count();
    }
}
