package org.lacewingthread.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Leases that a backend server holds, and the highest token it has seen for each shard. Not synchronized. */
final class LeaseTable {
    private final String server;
    private final Map<String, String> highestTokens = new HashMap<>();
    private final Map<String, Lease> leases = new HashMap<>();
    private final List<LeasePeriod> leasePeriods = new ArrayList<>();

    /** A shard with its token, as a lease order names it. */
    record ShardGrant(String shard, String token) {
        ShardGrant {
            if (shard == null || !shard.matches("[^/]+/[0-9]+")) {
                throw new IllegalArgumentException("shard \"" + shard + "\" does not have the form application/index");
            }
            FencingTokens.requireValid(token);
        }
    }

    private record Lease(String token, long fromMicros, long untilMicros) {}

    LeaseTable(String server) {
        this.server = server;
    }

    /** Grants or renews leases; refuses them all if a higher token was seen for one. */
    boolean grant(List<ShardGrant> shards, long nowMicros, long untilMicros) {
        if (shards.stream().anyMatch(granted -> isBelowHighest(granted.shard(), granted.token()))) {
            return false;
        }
        for (ShardGrant granted : shards) {
            highestTokens.put(granted.shard(), granted.token());
            Lease old = leases.get(granted.shard());
            boolean renewed =
                    old != null && old.untilMicros() > nowMicros && old.token().equals(granted.token());
            if (old != null && !renewed) {
                recordPeriod(granted.shard(), old, nowMicros);
            }
            long fromMicros = renewed ? old.fromMicros() : nowMicros;
            leases.put(granted.shard(), new Lease(granted.token(), fromMicros, untilMicros));
        }
        return true;
    }

    /** Ends leases; refuses if a higher token was seen for one of the shards. */
    boolean release(List<String> shards, String token, long nowMicros) {
        if (shards.stream().anyMatch(shard -> isBelowHighest(shard, token))) {
            return false;
        }
        for (String shard : shards) {
            highestTokens.put(shard, token);
            Lease old = leases.remove(shard);
            if (old != null) {
                recordPeriod(shard, old, nowMicros);
            }
        }
        return true;
    }

    private boolean isBelowHighest(String shard, String token) {
        String highest = highestTokens.get(shard);
        return highest != null && FencingTokens.compare(token, highest) < 0;
    }

    private void recordPeriod(String shard, Lease lease, long nowMicros) {
        long untilMicros = Math.min(lease.untilMicros(), nowMicros);
        leasePeriods.add(new LeasePeriod(server, shard, lease.token(), lease.fromMicros(), untilMicros));
    }

    /** Returns why a request may not run, empty if it may. */
    Optional<String> refusalReason(String shard, String token, long nowMicros) {
        if (shard == null || token == null) {
            return Optional.of("the request names no shard or no token");
        }
        FencingTokens.requireValid(token);
        if (isBelowHighest(shard, token)) {
            return Optional.of("token " + token + " of shard " + shard + " is stale");
        }
        Lease lease = leases.get(shard);
        if (lease == null || lease.untilMicros() <= nowMicros) {
            return Optional.of("no valid lease on shard " + shard);
        }
        return Optional.empty();
    }

    /** Returns the shards under a valid lease, sorted. */
    List<String> heldShards(long nowMicros) {
        return leases.entrySet().stream()
                .filter(entry -> entry.getValue().untilMicros() > nowMicros)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Returns every stretch of time during which a shard was held, those that last included. */
    List<LeasePeriod> leasePeriods() {
        List<LeasePeriod> all = new ArrayList<>(leasePeriods);
        leases.forEach((shard, lease) ->
                all.add(new LeasePeriod(server, shard, lease.token(), lease.fromMicros(), lease.untilMicros())));
        return all;
    }
}
