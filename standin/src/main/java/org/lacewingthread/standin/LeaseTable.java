package org.lacewingthread.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Leases of a backend server and the highest token that it has seen for each shard. Not thread-safe. */
final class LeaseTable {
    private final String server;
    private final Map<String, String> highestTokens = new HashMap<>();
    private final Map<String, Lease> leases = new HashMap<>();
    private final List<LeasePeriod> endedPeriods = new ArrayList<>();

    /** Grant of one shard under a fencing token. */
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

    /**
     * Grants or renews leases. A lease that is still valid is renewed if its token is the same.
     *
     * @return false, with nothing changed, if a higher token was seen for one of the shards
     */
    boolean grant(List<ShardGrant> grants, long nowMicros, long untilMicros) {
        if (grants.stream().anyMatch(grant -> isBelowHighest(grant.shard(), grant.token()))) {
            return false;
        }
        for (ShardGrant grant : grants) {
            highestTokens.put(grant.shard(), grant.token());
            Lease old = leases.get(grant.shard());
            boolean renewed =
                    old != null && old.untilMicros() > nowMicros && old.token().equals(grant.token());
            if (old != null && !renewed) {
                recordPeriod(grant.shard(), old, nowMicros);
            }
            long fromMicros = renewed ? old.fromMicros() : nowMicros;
            leases.put(grant.shard(), new Lease(grant.token(), fromMicros, untilMicros));
        }
        return true;
    }

    /**
     * Ends the leases on the shards and raises their highest token to the given one.
     *
     * @return false, with nothing changed, if a higher token was seen for one of the shards
     */
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
        endedPeriods.add(new LeasePeriod(server, shard, lease.token(), lease.fromMicros(), untilMicros));
    }

    /**
     * Returns why a request may not run, or empty if it may.
     *
     * @throws IllegalArgumentException if the token is not valid
     */
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

    /** Returns the shards with a valid lease, sorted. */
    List<String> heldShards(long nowMicros) {
        return leases.entrySet().stream()
                .filter(entry -> entry.getValue().untilMicros() > nowMicros)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Returns the periods of all leases: first those released or replaced, then those still in the table. */
    List<LeasePeriod> leasePeriods() {
        List<LeasePeriod> all = new ArrayList<>(endedPeriods);
        leases.forEach((shard, lease) ->
                all.add(new LeasePeriod(server, shard, lease.token(), lease.fromMicros(), lease.untilMicros())));
        return all;
    }
}
