package org.lacewingthread.core.keyrange;

import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

/** Derives the table to be recorded next from the state of the leader's ranges and the planner's result. */
final class RangeTableProposer {
    private final List<RangeHold> holds;
    private final GrantLedger ledger;
    private final ServerLiveness liveness;
    private final long nowMillis;

    RangeTableProposer(List<RangeHold> holds, GrantLedger ledger, ServerLiveness liveness, long nowMillis) {
        this.holds = holds;
        this.ledger = ledger;
        this.liveness = liveness;
        this.nowMillis = nowMillis;
    }

    /**
     * Returns the table to be recorded next; equal to the base if nothing is to change.
     *
     * @param base table that holds the current term and leaders
     * @param services servers and load of each keyed service
     * @param balances whether ranges may also move to balance load; otherwise the planner runs only if
     *     some keys lack a usable owner
     */
    RangeTable propose(RangeTable base, Map<ServiceId, ServiceView> services, boolean balances) {
        RangeTable proposal = base;
        for (Map.Entry<ServiceId, ServiceView> service : new TreeMap<>(services).entrySet()) {
            List<RangeOwnership> planned = proposedRanges(service.getKey(), service.getValue(), balances);
            proposal = proposal.withRanges(service.getKey(), planned);
        }
        return proposal;
    }

    private List<RangeOwnership> proposedRanges(ServiceId service, ServiceView view, boolean balances) {
        Map<ServerStart, Double> usable = new TreeMap<>(view.capacityByServer());
        usable.keySet().removeIf(liveness::isUnresponsiveOrEnded);
        List<RangeHold> serviceHolds =
                holds.stream().filter(hold -> hold.service.equals(service)).toList();
        List<RangeOwnership> current = serviceHolds.stream()
                .map(hold -> toPlannerInput(hold, usable, view))
                .toList();
        Set<ServerStart> unconfirmed = new TreeSet<>();
        serviceHolds.stream().filter(hold -> !isConfirmed(hold)).forEach(hold -> unconfirmed.add(hold.owner));
        List<RangeOwnership> planned = isFullyOwned(current, usable) && !balances
                ? current
                : RangePlanner.plan(
                        current, usable, view.load(), ownership -> !unconfirmed.contains(ownership.owner()));
        NavigableMap<Integer, RangeHold> holdsByFirstKey = new TreeMap<>();
        serviceHolds.forEach(hold -> holdsByFirstKey.put(hold.range.firstKey(), hold));
        return planned.stream()
                .map(ownership -> withFormerOwner(ownership, holdsByFirstKey))
                .toList();
    }

    private static boolean isFullyOwned(List<RangeOwnership> current, Map<ServerStart, Double> usable) {
        int keys =
                current.stream().mapToInt(ownership -> ownership.range().size()).sum();
        return keys == KeyRange.ALL.size()
                && current.stream()
                        .allMatch(ownership -> ownership.isMoving() || usable.containsKey(ownership.owner()));
    }

    /**
     * Returns a range as the planner is to see it: as moving if its owner can't change now, otherwise as
     * settled, so that the planner may replace its owner. A held range whose owner can't change is shown
     * as moving from its owner to the same owner.
     */
    private RangeOwnership toPlannerInput(RangeHold hold, Map<ServerStart, Double> usable, ServiceView view) {
        boolean ownerUsable = usable.containsKey(hold.owner);
        boolean ownerMayHold = ledger.mayHold(hold.service, hold.owner, hold.range, nowMillis);
        if (hold.phase != RangeHold.Phase.HELD) {
            // An unanswered grant, or one of a former leader, may still take effect at the owner.
            boolean mayStillTakeEffect = ownerMayHold && !liveness.hasEnded(hold.owner);
            return ownerUsable || mayStillTakeEffect
                    ? new RangeOwnership(hold.range, hold.owner, hold.movingFrom)
                    : RangeOwnership.settled(hold.range, hold.owner);
        }
        boolean leavesNow = isConfirmed(hold) && !view.leavingLater().contains(hold.owner);
        boolean mayMove = ownerUsable || leavesNow || !ownerMayHold || liveness.hasEnded(hold.owner);
        return mayMove
                ? RangeOwnership.settled(hold.range, hold.owner)
                : new RangeOwnership(hold.range, hold.owner, Optional.of(hold.owner));
    }

    private boolean isConfirmed(RangeHold hold) {
        return hold.phase == RangeHold.Phase.HELD
                && ledger.isConfirmed(hold.service, hold.owner, hold.range, nowMillis);
    }

    /** Adds the former owner, which may still hold the keys, to a range that gets another owner. */
    private static RangeOwnership withFormerOwner(
            RangeOwnership planned, NavigableMap<Integer, RangeHold> holdsByFirstKey) {
        if (planned.movingFrom().filter(planned.owner()::equals).isPresent()) {
            return RangeOwnership.settled(planned.range(), planned.owner());
        }
        if (planned.isMoving()) {
            return planned;
        }
        Integer from = holdsByFirstKey.floorKey(planned.range().firstKey());
        Integer to = planned.range().lastKey();
        NavigableMap<Integer, RangeHold> candidates =
                from == null ? holdsByFirstKey.headMap(to, true) : holdsByFirstKey.subMap(from, true, to, true);
        for (RangeHold hold : candidates.values()) {
            if (!hold.range.overlaps(planned.range())) {
                continue;
            }
            if (!hold.owner.equals(planned.owner())) {
                Optional<ServerStart> former =
                        hold.phase == RangeHold.Phase.RELEASING ? hold.movingFrom : Optional.of(hold.owner);
                return new RangeOwnership(planned.range(), planned.owner(), former);
            }
            if (hold.phase != RangeHold.Phase.HELD) {
                // Without a usable server the planner keeps the owner, whose move is not complete.
                return new RangeOwnership(planned.range(), planned.owner(), hold.movingFrom);
            }
        }
        return planned;
    }
}
