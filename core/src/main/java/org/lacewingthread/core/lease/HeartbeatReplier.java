package org.lacewingthread.core.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.control.PeerMessage;
import org.lacewingthread.core.control.PeerMessage.Heartbeat;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.RosterMember;

/** Answers heartbeats: gives the leader lease, applies the plan and reports this VM's part. */
final class HeartbeatReplier {
    private final VmContext context;
    private final LeaseGiver giver;
    private final DispatchLease dispatch;
    private final Map<ServerId, ServerCondition> conditions = new HashMap<>();
    private List<ServerLoad> load = List.of();
    private Heartbeat lastGranted;
    private VmStart lastLeader;

    HeartbeatReplier(VmContext context, LeaseGiver giver, DispatchLease dispatch) {
        this.context = context;
        this.giver = giver;
        this.dispatch = dispatch;
    }

    /** Answers a heartbeat. */
    void heartbeat(VmStart sender, Heartbeat heartbeat, long nowMillis) {
        giver.noteTerm(heartbeat.term());
        boolean granted = giver.ask(sender, heartbeat, context.dataCentre(), nowMillis);
        if (granted) {
            dispatch.heartbeat(heartbeat);
            lastGranted = heartbeat;
            lastLeader = sender;
        }
        reply(sender, heartbeat, granted, nowMillis);
    }

    /** Tells the leader out of turn that removals took effect. */
    void reportRelease(long nowMillis) {
        if (lastLeader != null
                && giver.holder(nowMillis).filter(lastLeader::equals).isPresent()) {
            reply(lastLeader, lastGranted, true, nowMillis);
        }
    }

    private void reply(VmStart sender, Heartbeat heartbeat, boolean granted, long nowMillis) {
        Optional<RosterMember> addressee = context.rosterMember(sender);
        if (addressee.isEmpty()) {
            return;
        }
        LogOffset rosterRevision = context.dataCentre().rosterRevision();
        boolean isFirstReply = heartbeat.echoedAtMillis() < 0;
        Optional<RoutePlan> held =
                isFirstReply ? dispatch.heldFromBefore(heartbeat.term(), nowMillis) : Optional.empty();
        context.outbox()
                .send(
                        addressee.get(),
                        new PeerMessage.HeartbeatReply(
                                heartbeat.term(),
                                heartbeat.sequence(),
                                granted,
                                giver.highestTerm().orElse(heartbeat.term()),
                                rosterRevision,
                                giver.acknowledges(rosterRevision, nowMillis),
                                context.state().appliedOffset(),
                                nowMillis,
                                dispatch.appliedVersion(heartbeat.term()),
                                dispatch.releasedVersion(heartbeat.term()),
                                held,
                                unreachable(),
                                load));
        if (granted) {
            load = List.of();
        }
    }

    private List<ServerId> unreachable() {
        return conditions.entrySet().stream()
                .filter(e -> !e.getValue().isAnswering())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Takes in what local traffic observed of a server and tells the leader at once. */
    void observed(ServerId server, ServerCondition condition, long nowMillis) {
        if (condition == conditions.put(server, condition)) {
            return;
        }
        giver.holder(nowMillis).flatMap(context::rosterMember).ifPresent(m -> context.outbox()
                .send(m, new PeerMessage.ServersObserved(Map.of(server, condition))));
    }

    /** Returns the newest condition of each server that this VM observed. */
    Map<ServerId, ServerCondition> conditions() {
        return conditions;
    }

    /** Takes in load to be reported with the next reply. */
    void measured(List<ServerLoad> measured) {
        load = measured;
    }
}
