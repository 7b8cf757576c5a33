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
 * Lease of one backend server that checks tokens. One order renews all its shards, and the next order
 * waits for the answer or failure of the last, so that the last possible expiry is known.
 *
 * <p>After a failure the lease is asked for again only up to the expiry that the failed order already
 * had, so that a lost server does not keep its shards longer for being asked.
 */
final class ServerLease {
    private static final long MIN_LEASE_MILLIS = 100;
    private static final int FAILURES_OF_A_LOST_SERVER = 2;
    private static final long LOST_MILLIS = 5_000;

    private final ServerId server;
    private final ControlSettings settings;
    private final Set<SafetyRule> rules;
    private final Map<ShardId, FencingToken> granted = new TreeMap<>();
    private final Set<ShardId> confirmed = new HashSet<>();
    private final Map<ShardId, FencingToken> releasing = new TreeMap<>();
    private final Set<ShardId> released = new HashSet<>();
    private final Set<ShardId> refused = new HashSet<>();
    private List<ServerOrder.GrantedShard> listed;
    private FencingToken highest;
    private Pending pending;
    private long sequence;
    private long lastPossibleEndMillis;
    private long renewAtMillis = Long.MIN_VALUE;
    private long releaseAtMillis = Long.MIN_VALUE;
    private long retryEndMillis = Long.MIN_VALUE;
    private long lostUntilMillis = Long.MIN_VALUE;
    private int failures;

    private record Pending(ServerOrder order, List<ShardId> shards, long givenUpAtMillis, long endBeforeMillis) {}

    ServerLease(ServerId server, ControlSettings settings, Set<SafetyRule> rules, long predecessorEndMillis) {
        this.server = server;
        this.settings = settings;
        this.rules = rules;
        this.lastPossibleEndMillis = predecessorEndMillis;
    }

    /** Adds a shard; {@link #isConfirmed} tells when the server has it. */
    void grant(ShardId shard, FencingToken token) {
        granted.put(shard, token);
        listed = null;
        confirmed.remove(shard);
        releasing.remove(shard);
        released.remove(shard);
        refused.remove(shard);
        renewAtMillis = Long.MIN_VALUE;
    }

    boolean isConfirmed(ShardId shard) {
        return confirmed.contains(shard);
    }

    /** Stops renewing a shard; returns its last possible expiry. */
    long withdraw(ShardId shard) {
        granted.remove(shard);
        listed = null;
        confirmed.remove(shard);
        return lastPossibleEndMillis;
    }

    void requestRelease(ShardId shard, FencingToken token) {
        if (!released.contains(shard)) {
            releasing.putIfAbsent(shard, token);
        }
    }

    /** Returns whether the server acknowledged a shard's release, and forgets it. */
    boolean takeReleased(ShardId shard) {
        return released.remove(shard);
    }

    void cancelRelease(ShardId shard) {
        releasing.remove(shard);
        released.remove(shard);
    }

    /** Returns the shards of a refused order, and forgets them. */
    List<ShardId> takeRefused() {
        List<ShardId> result = refused.stream().sorted().toList();
        refused.clear();
        return result;
    }

    /** Returns whether several orders in a row failed, the last one not long ago. */
    boolean seemsLost(long nowMillis) {
        return nowMillis < lostUntilMillis;
    }

    Optional<ServerOrder> nextOrder(boolean answering, long nowMillis) {
        if (pending != null && nowMillis >= pending.givenUpAtMillis()) {
            failed(pending.order().sequence(), nowMillis);
        }
        boolean waiting = pending != null && rules.contains(SafetyRule.ONE_ORDER_AT_A_TIME);
        if (waiting || !answering) {
            return Optional.empty();
        }
        if (!releasing.isEmpty() && nowMillis >= releaseAtMillis) {
            return Optional.of(release(nowMillis));
        }
        return nowMillis < renewAtMillis ? Optional.empty() : renew(nowMillis);
    }

    private ServerOrder release(long nowMillis) {
        List<ShardId> shards = List.copyOf(releasing.keySet());
        FencingToken token =
                releasing.values().stream().max(FencingToken::compareTo).orElseThrow();
        ServerOrder order = new ServerOrder.Release(server, ++sequence, token, shards);
        pending = new Pending(order, shards, nowMillis + settings.serverLeaseMillis(), lastPossibleEndMillis);
        return order;
    }

    private Optional<ServerOrder> renew(long nowMillis) {
        long leaseMillis = leaseLength(nowMillis);
        if (granted.isEmpty() || leaseMillis < MIN_LEASE_MILLIS) {
            return Optional.empty();
        }
        listGranted();
        ServerOrder order =
                new ServerOrder.Renew(server, ++sequence, highest, leaseMillis, settings.startByMillis(), listed);
        long endMillis = nowMillis + settings.lengthenedByClockMargin(leaseMillis + settings.startByMillis());
        pending = new Pending(order, List.of(), endMillis, lastPossibleEndMillis);
        lastPossibleEndMillis = Math.max(lastPossibleEndMillis, endMillis);
        renewAtMillis = nowMillis + settings.serverRenewalMillis();
        return Optional.of(order);
    }

    private void listGranted() {
        if (listed != null) {
            return;
        }
        List<ServerOrder.GrantedShard> shards = new ArrayList<>(granted.size());
        granted.forEach((shard, token) -> shards.add(new ServerOrder.GrantedShard(shard, token)));
        listed = List.copyOf(shards);
        highest = granted.values().stream().max(FencingToken::compareTo).orElseThrow();
    }

    /** A retry ends no later than the order that failed could have. */
    private long leaseLength(long nowMillis) {
        long fullMillis = settings.serverLeaseMillis();
        if (failures == 0 || nowMillis >= retryEndMillis) {
            retryEndMillis = nowMillis + settings.lengthenedByClockMargin(fullMillis + settings.startByMillis());
            return fullMillis;
        }
        long leftMillis = settings.shortenedByClockMargin(retryEndMillis - nowMillis) - settings.startByMillis();
        return Math.min(fullMillis, leftMillis);
    }

    void answered(long answeredSequence, boolean accepted, long nowMillis) {
        if (pending == null || pending.order().sequence() != answeredSequence) {
            return;
        }
        Pending done = pending;
        pending = null;
        failures = 0;
        lostUntilMillis = Long.MIN_VALUE;
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

    private void releaseAnswered(Pending done, boolean accepted, long nowMillis) {
        if (!accepted) {
            releaseAtMillis = nowMillis + settings.serverRenewalMillis();
            done.shards().forEach(releasing::remove);
            return;
        }
        for (ShardId shard : done.shards()) {
            if (releasing.remove(shard) != null) {
                released.add(shard);
            }
        }
    }

    void failed(long failedSequence, long nowMillis) {
        if (pending == null || pending.order().sequence() != failedSequence) {
            return;
        }
        if (!rules.contains(SafetyRule.COUNT_FAILED_ORDERS)) {
            lastPossibleEndMillis = pending.endBeforeMillis();
        }
        pending = null;
        failures++;
        if (failures >= FAILURES_OF_A_LOST_SERVER) {
            lostUntilMillis = nowMillis + LOST_MILLIS;
        }
        renewAtMillis = nowMillis + settings.heartbeatMillis();
        releaseAtMillis = renewAtMillis;
    }
}
