package org.lacewingthread.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.lacewingthread.core.id.ServerStart;

/**
 * Divides the limits of servers among the requests of all entry VMs: the leader permits each request to a server that
 * named a limit or is cold, so that the limit holds for all VMs together and follows demand. Where a server has both
 * limits, the lower one applies.
 *
 * <pre>{@code
 * PermitIssuer.Permit permit = issuer.issue(permitRequest, nowMillis);
 * }</pre>
 *
 * <p>A request that gets no permit is told when to come back. More urgent requests go first: while they ask, others
 * leave one permit unused; after some refusals one of these is treated alike, so that none waits for good.
 *
 * <p>Times are milliseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class PermitIssuer {
    /** Most permits that are saved up while nobody asks. */
    private static final double MAX_SAVED_PERMITS = 3;
    /**
     * The same for a cold server, and what less urgent requests leave. With 2, the permits of a leader and of a former one
     * that some VMs still hear took up the whole bound of one second.
     */
    static final double MAX_SAVED_COLD_PERMITS = 1.3;
    /** Time in which a former leader may go on unknowingly: the longest outage of the store that it outlasts. */
    private static final long TAKEOVER_MILLIS = 10_000;
    /** Share of the rate of cold servers that is permitted in that time, since a former leader permits it too. */
    private static final double TAKEOVER_RATE_SHARE = 0.5;
    /** How long a server counts as cold after an entry VM said so; VMs that know it ask at each request. */
    private static final long COLD_VALIDITY_MILLIS = 2_000;
    /** A new bucket has one permit, so that a change of leader lets few extra requests through. */
    private static final double INITIAL_PERMITS = 1;
    /** How long a more urgent request has precedence after it asked. */
    private static final long PRECEDENCE_MILLIS = 1_000;
    /** Refusals to less urgent requests after which the next one is treated like an urgent one. */
    private static final int MAX_REFUSALS_TO_LESS_URGENT = 12;
    /** A limit that nobody has asked about for this long is forgotten. */
    private static final long FORGET_AFTER_MILLIS = 10_000;

    private static final double MILLIS_PER_SECOND = 1e3;

    /** Servers that come into need together name their limits within about this time. */
    private static final long SETTLING_MILLIS = 500;
    /** Time after which limits are reported although others keep being named. */
    private static final long MAX_SETTLING_MILLIS = 2_000;

    private final Map<ServerStart, Bucket> buckets = new HashMap<>();
    private Map<ServerStart, Double> settledLimits = Map.of();
    private long newestLimitMillis = Long.MIN_VALUE / 2;
    private long firstAskedMillis = Long.MAX_VALUE / 2;
    private long settledAtMillis = Long.MIN_VALUE / 2;

    /** Permits of one server. */
    private static final class Bucket {
        /** Limit that the server named; null if it named none of late. */
        private NamedLimit limit;

        private double coldPerSecond;
        private long coldAtMillis = Long.MIN_VALUE / 2;
        private long namedAtMillis = Long.MIN_VALUE / 2;
        private long endedAtMillis = Long.MIN_VALUE / 2;
        private double permits = INITIAL_PERMITS;
        private long filledAtMillis;
        private int mostUrgentPriority;
        private long mostUrgentAtMillis = Long.MIN_VALUE / 2;
        private int refusalsInARow;
        private int refusalsToLessUrgent;
        private long askedAtMillis;

        private boolean isEnded() {
            return endedAtMillis > namedAtMillis;
        }

        private boolean isCold(long nowMillis) {
            return nowMillis - coldAtMillis <= COLD_VALIDITY_MILLIS;
        }

        /** Returns the rate at which permits are filled up; 0 if no limit is known. */
        private double perSecond(long nowMillis) {
            double named = limit == null ? Double.POSITIVE_INFINITY : limit.perSecond();
            double perSecond = isCold(nowMillis) ? Math.min(named, coldPerSecond) : named;
            return Double.isFinite(perSecond) ? perSecond : 0;
        }

        private void onCold(double perSecond, long nowMillis) {
            if (!isCold(nowMillis)) {
                // Permits saved up under a higher limit, or none, don't count.
                permits = Math.min(permits, INITIAL_PERMITS);
                filledAtMillis = nowMillis;
            }
            coldPerSecond = perSecond;
            coldAtMillis = nowMillis;
        }
    }

    /**
     * Answer to a {@link PermitRequest}.
     *
     * @param outcome whether the request may be sent
     * @param retryAfterMillis delay after which a retry may succeed, in milliseconds; 0 unless it is refused
     */
    public record Permit(Outcome outcome, long retryAfterMillis) {}

    /** Outcome of a {@link PermitRequest}. */
    public enum Outcome {
        /** The request may be sent. */
        GRANTED,
        /** The limit is used up. */
        REFUSED,
        /** The server no longer names a limit. */
        NOT_LIMITED
    }

    /** Decides about one request. */
    public Permit issue(PermitRequest request, long nowMillis) {
        Bucket bucket = buckets.computeIfAbsent(request.server(), server -> new Bucket());
        bucket.askedAtMillis = nowMillis;
        firstAskedMillis = Math.min(firstAskedMillis, nowMillis);
        fill(bucket, nowMillis);
        if (request.kind() == LimitKind.COLD) {
            double share = nowMillis - firstAskedMillis < TAKEOVER_MILLIS ? TAKEOVER_RATE_SHARE : 1;
            bucket.onCold(request.limit().perSecond() * share, nowMillis);
        } else {
            onNamed(bucket, request, nowMillis);
            if (bucket.isEnded() && !bucket.isCold(nowMillis)) {
                return new Permit(Outcome.NOT_LIMITED, 0);
            }
        }
        boolean precedes = takesPrecedence(bucket, request.priority(), nowMillis);
        boolean leavesPermit = !precedes && bucket.refusalsToLessUrgent < MAX_REFUSALS_TO_LESS_URGENT;
        double left = bucket.isCold(nowMillis) ? MAX_SAVED_COLD_PERMITS : 2;
        boolean granted = bucket.permits >= (leavesPermit ? left : 1);
        if (!precedes) {
            bucket.refusalsToLessUrgent = granted ? 0 : bucket.refusalsToLessUrgent + 1;
        }
        if (granted) {
            bucket.permits--;
            bucket.refusalsInARow = 0;
            return new Permit(Outcome.GRANTED, 0);
        }
        bucket.refusalsInARow++;
        return new Permit(Outcome.REFUSED, retryAfterMillis(bucket, nowMillis));
    }

    private void onNamed(Bucket bucket, PermitRequest request, long nowMillis) {
        long namedAtMillis = nowMillis - request.namedAgoMillis();
        if (bucket.limit == null || (bucket.isEnded() && namedAtMillis > bucket.endedAtMillis)) {
            newestLimitMillis = nowMillis;
        }
        if (bucket.limit == null || namedAtMillis > bucket.namedAtMillis) {
            bucket.limit = request.limit();
            bucket.namedAtMillis = namedAtMillis;
        }
    }

    private static void fill(Bucket bucket, long nowMillis) {
        double filled = (nowMillis - bucket.filledAtMillis) * bucket.perSecond(nowMillis) / MILLIS_PER_SECOND;
        double maxSaved = bucket.isCold(nowMillis) ? MAX_SAVED_COLD_PERMITS : MAX_SAVED_PERMITS;
        bucket.permits = Math.min(maxSaved, bucket.permits + filled);
        bucket.filledAtMillis = nowMillis;
    }

    private static boolean takesPrecedence(Bucket bucket, int priority, long nowMillis) {
        boolean precedenceOver = nowMillis - bucket.mostUrgentAtMillis > PRECEDENCE_MILLIS;
        if (!precedenceOver && priority > bucket.mostUrgentPriority) {
            return false;
        }
        bucket.mostUrgentPriority = priority;
        bucket.mostUrgentAtMillis = nowMillis;
        return true;
    }

    /** The time until as many permits have been saved up as requests were refused since the last grant. */
    private static long retryAfterMillis(Bucket bucket, long nowMillis) {
        double missing = bucket.refusalsInARow - Math.min(bucket.permits, 1);
        return Math.round(missing * MILLIS_PER_SECOND / Math.max(bucket.perSecond(nowMillis), 1 / MILLIS_PER_SECOND));
    }

    /**
     * Records that a server answered without naming a limit.
     *
     * @param atMillis when the answer arrived at the entry VM
     */
    public void onLimitEnded(ServerStart server, long atMillis) {
        Bucket bucket = buckets.get(server);
        if (bucket != null) {
            bucket.endedAtMillis = Math.max(bucket.endedAtMillis, atMillis);
        }
    }

    /**
     * Returns the limits in force that servers named and that were asked about of late, in requests a second. New ones are left out until no
     * further one is named for a moment, so that keys don't move to servers that are about to name one too.
     */
    public Map<ServerStart, Double> settledLimitsPerSecond(long nowMillis) {
        buckets.values().removeIf(bucket -> nowMillis - bucket.askedAtMillis > FORGET_AFTER_MILLIS);
        boolean settled = nowMillis - newestLimitMillis >= SETTLING_MILLIS;
        if (settled || nowMillis - settledAtMillis >= MAX_SETTLING_MILLIS) {
            settledAtMillis = nowMillis;
            settledLimits = new HashMap<>();
            buckets.forEach((server, bucket) -> {
                if (bucket.limit != null) {
                    settledLimits.put(server, bucket.limit.perSecond());
                }
            });
        }
        Map<ServerStart, Double> inForce = new HashMap<>(settledLimits);
        inForce.keySet()
                .removeIf(server ->
                        !buckets.containsKey(server) || buckets.get(server).isEnded());
        return inForce;
    }
}
