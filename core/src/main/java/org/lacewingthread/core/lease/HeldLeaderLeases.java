package org.lacewingthread.core.lease;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.RosterMember;

/** Leader leases granted to this VM. Each is counted from the time of the request, before the grant. */
final class HeldLeaderLeases {
    private static final long NO_LEASE = Long.MIN_VALUE;

    private final VmStart self;
    private final LeaseDeadlines leaseDeadlines;
    private final TreeMap<Long, Long> requestedAtBySequence = new TreeMap<>();
    private final Map<VmStart, Long> deadlines = new HashMap<>();
    private long lastSequence;

    HeldLeaderLeases(VmStart self, LeaseDeadlines leaseDeadlines) {
        this.self = self;
        this.leaseDeadlines = leaseDeadlines;
    }

    /** Returns the sequence number of a heartbeat that is about to be sent, and records the time. */
    long nextSequence(long nowMillis) {
        lastSequence++;
        requestedAtBySequence.put(lastSequence, nowMillis);
        while (leaseDeadlines.holderLeaderDeadline(
                        requestedAtBySequence.firstEntry().getValue())
                <= nowMillis) {
            requestedAtBySequence.pollFirstEntry();
        }
        return lastSequence;
    }

    /** Records that a VM granted its lease in reply to a heartbeat. */
    void recordGrant(VmStart grantor, long sequence) {
        Long requestedAtMillis = requestedAtBySequence.get(sequence);
        if (requestedAtMillis != null) {
            deadlines.merge(grantor, leaseDeadlines.holderLeaderDeadline(requestedAtMillis), Math::max);
        }
    }

    /** Discards all leases. Each must be granted again under the new term. */
    void clear() {
        requestedAtBySequence.clear();
        deadlines.clear();
    }

    /** Discards the lease that this VM granted to itself. */
    void removeOwn() {
        deadlines.remove(self);
    }

    /** Returns whether this VM holds the unexpired lease of the grantor. */
    boolean holds(VmStart grantor, long nowMillis) {
        return deadlines.getOrDefault(grantor, NO_LEASE) > nowMillis;
    }

    /** Returns whether this VM holds the leases of a majority of the roster, including its own. */
    boolean hasMajority(List<RosterMember> roster, long nowMillis) {
        return majorityDeadline(roster) > nowMillis;
    }

    /** Returns the time until which the current leases form a majority of the roster. */
    long majorityDeadline(List<RosterMember> roster) {
        if (roster.stream().noneMatch(m -> m.start().equals(self))) {
            return NO_LEASE;
        }
        long ownDeadline = deadlines.getOrDefault(self, NO_LEASE);
        List<Long> latestFirst = roster.stream()
                .map(m -> deadlines.getOrDefault(m.start(), NO_LEASE))
                .sorted(Comparator.reverseOrder())
                .toList();
        return Math.min(ownDeadline, latestFirst.get(roster.size() / 2));
    }
}
