package org.lacewingthread.core.lease;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.RosterMember;

/** Leader leases that other entry VMs gave to this one, each counted from before it was asked for. */
final class HeldLeaderLeases {
    private static final long NO_LEASE = Long.MIN_VALUE;

    private final VmStart self;
    private final LeaseDeadlines leaseDeadlines;
    private final TreeMap<Long, Long> requestedAtBySequence = new TreeMap<>();
    private final Map<VmStart, Long> deadlines = new HashMap<>();
    private long lastSequence;

    HeldLeaderLeases(VmStart self, LeaseDeadlines lengths) {
        this.self = self;
        this.leaseDeadlines = lengths;
    }

    /** Returns the number of a heartbeat that is about to be sent. */
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

    /** Takes in that a VM gave its lease in answer to a heartbeat. */
    void recordGrant(VmStart giver, long sequence) {
        Long askedAtMillis = requestedAtBySequence.get(sequence);
        if (askedAtMillis != null) {
            deadlines.merge(giver, leaseDeadlines.holderLeaderDeadline(askedAtMillis), Math::max);
        }
    }

    /** Forgets all leases, so that each must be given again under a new term. */
    void clear() {
        requestedAtBySequence.clear();
        deadlines.clear();
    }

    /** Forgets the lease that this VM gave to itself. */
    void removeOwn() {
        deadlines.remove(self);
    }

    /** Returns whether a VM's lease is held. */
    boolean holds(VmStart giver, long nowMillis) {
        return deadlines.getOrDefault(giver, NO_LEASE) > nowMillis;
    }

    /** Returns whether the leases of a majority of a roster are held, this VM's own included. */
    boolean hasMajority(List<RosterMember> roster, long nowMillis) {
        return majorityDeadline(roster) > nowMillis;
    }

    /** Returns until when the leases held now make a majority of a roster. */
    long majorityDeadline(List<RosterMember> roster) {
        if (roster.stream().noneMatch(m -> m.start().equals(self))) {
            return NO_LEASE;
        }
        long ownUntil = deadlines.getOrDefault(self, NO_LEASE);
        List<Long> latestFirst = roster.stream()
                .map(m -> deadlines.getOrDefault(m.start(), NO_LEASE))
                .sorted(Comparator.reverseOrder())
                .toList();
        return Math.min(ownUntil, latestFirst.get(roster.size() / 2));
    }
}
