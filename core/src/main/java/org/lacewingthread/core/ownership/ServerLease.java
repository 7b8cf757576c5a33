package org.lacewingthread.core.ownership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/**
 * Lease of one backend server that checks tokens. One order renews all its shards. The next order waits
 * until the last one is answered or has failed, so that the last possible expiry is known.
 *
 * <p>A retry after a failure does not extend the lease beyond the expiry of the failed order. Otherwise
 * the retries would prolong the time for which a lost server keeps its shards.
 */
final class ServerLease {
    private static final long MIN_LEASE_MILLIS = 100;
    private static final int FAILURES_UNTIL_LOST = 2;
    private static final long PRESUMED_LOST_MILLIS = 5_000;

    private final ServerId server;
    private final ControlSettings settings;
    private final Set<SafetyRule> rules;
    private final Map<ShardId, FencingToken> granted = new TreeMap<>();
    private final Set<ShardId> confirmed = new HashSet<>();
    private final Map<ShardId, FencingToken> pendingReleases = new TreeMap<>();
    private final Set<ShardId> released = new HashSet<>();
    private final Set<ShardId> refused = new HashSet<>();
    private List<ServerOrder.GrantedShard> renewalShards;
    private FencingToken highestToken;
    private PendingOrder pending;
    private long sequence;
    private long lastPossibleExpiryMillis;
    private long renewAtMillis = Long.MIN_VALUE;
    private long releaseAtMillis = Long.MIN_VALUE;
    private long retryExpiryMillis = Long.MIN_VALUE;
    private long presumedLostUntilMillis = Long.MIN_VALUE;
    private int failures;

    private record PendingOrder(
            ServerOrder order, List<ShardId> shards, long timeoutAtMillis, long previousExpiryMillis) {}

    ServerLease(ServerId server, ControlSettings settings, Set<SafetyRule> rules, long predecessorEndMillis) {
        this.server = server;
        this.settings = settings;
        this.rules = rules;
        this.lastPossibleExpiryMillis = predecessorEndMillis;
    }

    /** Adds a shard to the lease. {@link #isConfirmed} tells when the server has confirmed it. */
    void grant(ShardId shard, FencingToken token) {
        granted.put(shard, token);
        renewalShards = null;
        confirmed.remove(shard);
        pendingReleases.remove(shard);
        released.remove(shard);
        refused.remove(shard);
        renewAtMillis = Long.MIN_VALUE;
    }

    boolean isConfirmed(ShardId shard) {
        return confirmed.contains(shard);
    }

    /** Stops renewing a shard and returns its last possible expiry. */
    long withdraw(ShardId shard) {
        granted.remove(shard);
        renewalShards = null;
        confirmed.remove(shard);
        return lastPossibleExpiryMillis;
    }

    /** Asks the server to release a shard with the next order, unless it has already acknowledged the release. */
    void requestRelease(ShardId shard, FencingToken token) {
        if (!released.contains(shard)) {
            pendingReleases.putIfAbsent(shard, token);
        }
    }

    /** Returns whether the server acknowledged a shard's release, and clears the acknowledgement. */
    boolean takeReleased(ShardId shard) {
        return released.remove(shard);
    }

    void cancelRelease(ShardId shard) {
        pendingReleases.remove(shard);
        released.remove(shard);
    }

    /** Returns the shards of refused orders, and clears them. */
    List<ShardId> takeRefused() {
        List<ShardId> result = refused.stream().sorted().toList();
        refused.clear();
        return result;
    }

    /** Returns whether several orders in a row failed, the last one within {@code PRESUMED_LOST_MILLIS}. */
    boolean isPresumedLost(long nowMillis) {
        return nowMillis < presumedLostUntilMillis;
    }

    /**
     * Returns the order to send now, if any. An order whose last possible effect has passed without an answer
     * counts as failed.
     *
     * @param answering whether traffic and probes show that the server answers
     */
    Optional<ServerOrder> nextOrder(boolean answering, long nowMillis) {
        if (pending != null && nowMillis >= pending.timeoutAtMillis()) {
            orderFailed(pending.order().sequence(), nowMillis);
        }
        boolean waiting = pending != null && rules.contains(SafetyRule.ONE_ORDER_AT_A_TIME);
        if (waiting || !answering) {
            return Optional.empty();
        }
        if (!pendingReleases.isEmpty() && nowMillis >= releaseAtMillis) {
            return Optional.of(newReleaseOrder(nowMillis));
        }
        return nowMillis < renewAtMillis ? Optional.empty() : newRenewOrder(nowMillis);
    }

    private ServerOrder newReleaseOrder(long nowMillis) {
        List<ShardId> shards = List.copyOf(pendingReleases.keySet());
        FencingToken token =
                pendingReleases.values().stream().max(FencingToken::compareTo).orElseThrow();
        ServerOrder order = new ServerOrder.Release(server, ++sequence, token, shards);
        pending = new PendingOrder(order, shards, nowMillis + settings.serverLeaseMillis(), lastPossibleExpiryMillis);
        return order;
    }

    private Optional<ServerOrder> newRenewOrder(long nowMillis) {
        long leaseMillis = nextLeaseMillis(nowMillis);
        if (granted.isEmpty() || leaseMillis < MIN_LEASE_MILLIS) {
            return Optional.empty();
        }
        refreshRenewalShards();
        ServerOrder order = new ServerOrder.Renew(
                server, ++sequence, highestToken, leaseMillis, settings.startByMillis(), renewalShards);
        long endMillis = nowMillis + settings.lengthenedByClockMargin(leaseMillis + settings.startByMillis());
        pending = new PendingOrder(order, List.of(), endMillis, lastPossibleExpiryMillis);
        lastPossibleExpiryMillis = Math.max(lastPossibleExpiryMillis, endMillis);
        renewAtMillis = nowMillis + settings.serverRenewalMillis();
        return Optional.of(order);
    }

    private void refreshRenewalShards() {
        if (renewalShards != null) {
            return;
        }
        List<ServerOrder.GrantedShard> shards = new ArrayList<>(granted.size());
        granted.forEach((shard, token) -> shards.add(new ServerOrder.GrantedShard(shard, token)));
        renewalShards = List.copyOf(shards);
        highestToken = granted.values().stream().max(FencingToken::compareTo).orElseThrow();
    }

    /** Returns the lease length of the next order; a retry expires no later than the failed order could have. */
    private long nextLeaseMillis(long nowMillis) {
        long fullMillis = settings.serverLeaseMillis();
        if (failures == 0 || nowMillis >= retryExpiryMillis) {
            retryExpiryMillis = nowMillis + settings.lengthenedByClockMargin(fullMillis + settings.startByMillis());
            return fullMillis;
        }
        long leftMillis = settings.shortenedByClockMargin(retryExpiryMillis - nowMillis) - settings.startByMillis();
        return Math.min(fullMillis, leftMillis);
    }

    /** Handles the answer to the pending order; answers to other orders are ignored. */
    void orderAnswered(long answeredSequence, boolean accepted, long nowMillis) {
        if (pending == null || pending.order().sequence() != answeredSequence) {
            return;
        }
        PendingOrder done = pending;
        pending = null;
        failures = 0;
        presumedLostUntilMillis = Long.MIN_VALUE;
        if (done.order() instanceof ServerOrder.Release) {
            releaseAnswered(done, accepted, nowMillis);
            return;
        }
        List<ServerOrder.GrantedShard> shards = ((ServerOrder.Renew) done.order()).shards();
        if (!accepted) {
            shards.stream()
                    .map(ServerOrder.GrantedShard::shard)
                    .filter(granted::containsKey)
                    .forEach(refused::add);
            renewAtMillis = nowMillis + settings.serverRenewalMillis();
            return;
        }
        for (ServerOrder.GrantedShard shard : shards) {
            if (shard.token().equals(granted.get(shard.shard()))) {
                confirmed.add(shard.shard());
            }
        }
    }

    private void releaseAnswered(PendingOrder done, boolean accepted, long nowMillis) {
        if (!accepted) {
            releaseAtMillis = nowMillis + settings.serverRenewalMillis();
            done.shards().forEach(pendingReleases::remove);
            return;
        }
        for (ShardId shard : done.shards()) {
            if (pendingReleases.remove(shard) != null) {
                released.add(shard);
            }
        }
    }

    /** Handles the failure of the pending order, which may still have taken effect. */
    void orderFailed(long failedSequence, long nowMillis) {
        if (pending == null || pending.order().sequence() != failedSequence) {
            return;
        }
        if (!rules.contains(SafetyRule.COUNT_FAILED_ORDERS)) {
            lastPossibleExpiryMillis = pending.previousExpiryMillis();
        }
        pending = null;
        failures++;
        if (failures >= FAILURES_UNTIL_LOST) {
            presumedLostUntilMillis = nowMillis + PRESUMED_LOST_MILLIS;
        }
        renewAtMillis = nowMillis + settings.heartbeatMillis();
        releaseAtMillis = renewAtMillis;
    }
}
