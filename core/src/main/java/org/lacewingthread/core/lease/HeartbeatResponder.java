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

/** Replies to heartbeats: grants the leader lease, applies the route plan and reports this VM's state. */
final class HeartbeatResponder {
    private final VmContext context;
    private final LeaderLeaseGrantor grantor;
    private final DispatchLease dispatchLease;
    private final Map<ServerId, ServerCondition> conditions = new HashMap<>();
    private List<ServerLoad> load = List.of();
    private Heartbeat lastGrantedHeartbeat;
    private VmStart lastLeader;

    HeartbeatResponder(VmContext context, LeaderLeaseGrantor grantor, DispatchLease dispatchLease) {
        this.context = context;
        this.grantor = grantor;
        this.dispatchLease = dispatchLease;
    }

    /** Handles a heartbeat and sends the reply. */
    void handleHeartbeat(VmStart sender, Heartbeat heartbeat, long nowMillis) {
        grantor.observeTerm(heartbeat.term());
        boolean granted = grantor.requestLease(sender, heartbeat, context.dataCentre(), nowMillis);
        if (granted) {
            dispatchLease.applyHeartbeat(heartbeat);
            lastGrantedHeartbeat = heartbeat;
            lastLeader = sender;
        }
        sendReply(sender, heartbeat, granted, nowMillis);
    }

    /** Reports to the leader immediately that the removals of a plan took effect. */
    void reportRelease(long nowMillis) {
        if (lastLeader != null
                && grantor.holder(nowMillis).filter(lastLeader::equals).isPresent()) {
            sendReply(lastLeader, lastGrantedHeartbeat, true, nowMillis);
        }
    }

    private void sendReply(VmStart sender, Heartbeat heartbeat, boolean granted, long nowMillis) {
        Optional<RosterMember> addressee = context.rosterMember(sender);
        if (addressee.isEmpty()) {
            return;
        }
        LogOffset rosterRevision = context.dataCentre().rosterRevision();
        boolean isFirstReply = heartbeat.echoedAtMillis() < 0;
        Optional<RoutePlan> planOfOtherTerm =
                isFirstReply ? dispatchLease.planOfOtherTerm(heartbeat.term(), nowMillis) : Optional.empty();
        context.outbox()
                .send(
                        addressee.get(),
                        new PeerMessage.HeartbeatReply(
                                heartbeat.term(),
                                heartbeat.sequence(),
                                granted,
                                grantor.highestTerm().orElse(heartbeat.term()),
                                rosterRevision,
                                grantor.acknowledgesRoster(rosterRevision, nowMillis),
                                context.state().appliedOffset(),
                                nowMillis,
                                dispatchLease.appliedVersion(heartbeat.term()),
                                dispatchLease.releasedVersion(heartbeat.term()),
                                planOfOtherTerm,
                                unreachableServers(),
                                load));
        if (granted) {
            load = List.of();
        }
    }

    private List<ServerId> unreachableServers() {
        return conditions.entrySet().stream()
                .filter(e -> !e.getValue().isAnswering())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Records a server condition that local traffic observed, and reports a change to the leader immediately. */
    void recordCondition(ServerId server, ServerCondition condition, long nowMillis) {
        if (condition == conditions.put(server, condition)) {
            return;
        }
        grantor.holder(nowMillis).flatMap(context::rosterMember).ifPresent(m -> context.outbox()
                .send(m, new PeerMessage.ServersObserved(Map.of(server, condition))));
    }

    /** Returns the newest condition of each server that this VM has observed. */
    Map<ServerId, ServerCondition> conditions() {
        return conditions;
    }

    /** Records measured load, to be reported with the next reply that grants the lease. */
    void recordLoad(List<ServerLoad> measured) {
        load = measured;
    }
}
