package org.lacewingthread.core.keyrange;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

/** Works out the table that a leader wants, from its holds and the planner. */
final class RangeTableProposer {
    private final List<RangeHold> holds;
    private final ServerLiveness evidence;
    private final long nowMillis;

    RangeTableProposer(List<RangeHold> holds, ServerLiveness evidence, long nowMillis) {
        this.holds = holds;
        this.evidence = evidence;
        this.nowMillis = nowMillis;
    }

    /**
     * Returns the wanted table.
     *
     * @param balances whether ranges may move only for balance
     */
    RangeTable propose(RangeTable base, Map<ServiceId, ServiceView> services, boolean balances) {
        RangeTable proposal = base;
        for (Map.Entry<ServiceId, ServiceView> service : new TreeMap<>(services).entrySet()) {
            List<RangeOwnership> wanted = proposedRanges(service.getKey(), service.getValue(), balances);
            proposal = proposal.withRanges(service.getKey(), wanted);
        }
        return proposal;
    }

    private List<RangeOwnership> proposedRanges(ServiceId service, ServiceView view, boolean balances) {
        Map<ServerStart, Double> usable = new TreeMap<>(view.capacityByServer());
        usable.keySet().removeIf(evidence::isUnresponsiveOrEnded);
        List<RangeHold> serviceHolds =
                holds.stream().filter(hold -> hold.service.equals(service)).toList();
        List<RangeOwnership> current = serviceHolds.stream()
                .map(hold -> toPlannerInput(hold, usable, view))
                .toList();
        Set<ServerStart> unconfirmed = new TreeSet<>();
        serviceHolds.stream().filter(hold -> !hold.confirmed).forEach(hold -> unconfirmed.add(hold.owner));
        List<RangeOwnership> wanted = isFullyOwned(current, usable) && !balances
                ? current
                : RangePlanner.plan(current, usable, view.load(), piece -> !unconfirmed.contains(piece.owner()));
        return wanted.stream()
                .map(piece -> withFormerOwner(piece, serviceHolds))
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
     * Shows a hold to the planner: a range that can't change its owner now as moving, and one whose
     * owner is to be replaced as settled there.
     */
    private RangeOwnership toPlannerInput(RangeHold hold, Map<ServerStart, Double> usable, ServiceView view) {
        boolean ownerUsable = usable.containsKey(hold.owner);
        boolean ownerMayHold = hold.formerLeadersMayRenew || nowMillis < hold.ownerHeldUntilMillis;
        if (hold.phase != RangeHold.Phase.HELD) {
            // A grant without answer, or of an earlier leader, may still take effect at the owner.
            boolean pinned = ownerMayHold && !evidence.hasEnded(hold.owner, view);
            return ownerUsable || pinned
                    ? new RangeOwnership(hold.range, hold.owner, hold.movingFrom)
                    : RangeOwnership.settled(hold.range, hold.owner);
        }
        boolean mayMove = ownerUsable || hold.confirmed || !ownerMayHold || evidence.hasEnded(hold.owner, view);
        return mayMove
                ? RangeOwnership.settled(hold.range, hold.owner)
                : new RangeOwnership(hold.range, hold.owner, Optional.of(hold.owner));
    }

    /** Names who may still hold a range that gets another owner. */
    private static RangeOwnership withFormerOwner(RangeOwnership wanted, List<RangeHold> serviceHolds) {
        if (wanted.movingFrom().filter(wanted.owner()::equals).isPresent()) {
            return RangeOwnership.settled(wanted.range(), wanted.owner());
        }
        if (wanted.isMoving()) {
            return wanted;
        }
        for (RangeHold hold : serviceHolds) {
            if (!hold.overlaps(wanted.range()) || hold.owner.equals(wanted.owner())) {
                continue;
            }
            Optional<ServerStart> former =
                    hold.phase == RangeHold.Phase.RELEASING ? hold.movingFrom : Optional.of(hold.owner);
            return new RangeOwnership(wanted.range(), wanted.owner(), former);
        }
        return wanted;
    }
}
