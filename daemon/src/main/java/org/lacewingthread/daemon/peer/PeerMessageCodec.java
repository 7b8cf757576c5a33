package org.lacewingthread.daemon.peer;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.control.PeerMessage;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/** Converts control messages to frames and back. */
final class PeerMessageCodec {
    private final LogEntryCodec logEntries;

    PeerMessageCodec(LogEntryCodec logEntries) {
        this.logEntries = logEntries;
    }

    PeerWire.Frame encode(PeerMessage message) {
        PeerWire.Frame.Builder frame = PeerWire.Frame.newBuilder();
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            return frame.setHeartbeat(encodeHeartbeat(heartbeat)).build();
        }
        if (message instanceof PeerMessage.HeartbeatReply reply) {
            return frame.setHeartbeatReply(encodeHeartbeatReply(reply)).build();
        }
        if (message instanceof PeerMessage.LogRecordsWanted wanted) {
            return frame.setLogRecordsWanted(PeerWire.LogRecordsWanted.newBuilder()
                            .setFrom(wanted.from().value()))
                    .build();
        }
        if (message instanceof PeerMessage.LogRecordsOffered offered) {
            return frame.setLogRecordsOffered(encodeOffered(offered)).build();
        }
        if (message instanceof PeerMessage.MembershipRequested membership) {
            return frame.setMembershipRequested(encodeMembership(membership)).build();
        }
        if (message instanceof PeerMessage.ServersObserved observed) {
            return frame.setServersObserved(encodeObserved(observed)).build();
        }
        PeerMessage.ProgressReported progress = (PeerMessage.ProgressReported) message;
        return frame.setProgressReported(PeerWire.ProgressReported.newBuilder()
                        .setDataCentre(progress.dataCentre().value())
                        .setAppliedOffset(progress.appliedOffset().value())
                        .setConfigurationRevision(
                                progress.configurationRevision().value()))
                .build();
    }

    /**
     * Decodes a control message.
     *
     * @return empty if the frame holds no control message
     * @throws IllegalArgumentException if a field has a value that the core's types reject
     */
    Optional<PeerMessage> decode(PeerWire.Frame frame) {
        return switch (frame.getBodyCase()) {
            case HEARTBEAT -> Optional.of(decodeHeartbeat(frame.getHeartbeat()));
            case HEARTBEAT_REPLY -> Optional.of(decodeHeartbeatReply(frame.getHeartbeatReply()));
            case LOG_RECORDS_WANTED -> Optional.of(new PeerMessage.LogRecordsWanted(
                    new LogOffset(frame.getLogRecordsWanted().getFrom())));
            case LOG_RECORDS_OFFERED -> Optional.of(decodeOffered(frame.getLogRecordsOffered()));
            case PROGRESS_REPORTED -> Optional.of(decodeProgress(frame.getProgressReported()));
            case MEMBERSHIP_REQUESTED -> Optional.of(decodeMembership(frame.getMembershipRequested()));
            case SERVERS_OBSERVED -> Optional.of(decodeObserved(frame.getServersObserved()));
            default -> Optional.empty();
        };
    }

    private static PeerWire.Heartbeat encodeHeartbeat(PeerMessage.Heartbeat heartbeat) {
        PeerWire.Heartbeat.Builder builder = PeerWire.Heartbeat.newBuilder()
                .setDataCentre(heartbeat.dataCentre().value())
                .setTerm(PlanCodec.encode(heartbeat.term()))
                .setRosterRevision(heartbeat.rosterRevision().value())
                .setSequence(heartbeat.sequence())
                .setEchoedAtMillis(heartbeat.echoedAtMillis())
                .setEchoedPlanVersion(heartbeat.echoedPlanVersion())
                .setLogEndOffset(heartbeat.logEndOffset().value());
        heartbeat.plan().ifPresent(plan -> builder.setPlan(PlanCodec.encode(plan)));
        return builder.build();
    }

    private static PeerMessage decodeHeartbeat(PeerWire.Heartbeat wire) {
        return new PeerMessage.Heartbeat(
                new DataCentreId(wire.getDataCentre()),
                PlanCodec.decode(wire.getTerm()),
                new LogOffset(wire.getRosterRevision()),
                wire.getSequence(),
                wire.getEchoedAtMillis(),
                wire.getEchoedPlanVersion(),
                new LogOffset(wire.getLogEndOffset()),
                wire.hasPlan() ? Optional.of(PlanCodec.decode(wire.getPlan())) : Optional.empty());
    }

    private static PeerWire.HeartbeatReply encodeHeartbeatReply(PeerMessage.HeartbeatReply reply) {
        PeerWire.HeartbeatReply.Builder builder = PeerWire.HeartbeatReply.newBuilder()
                .setTerm(PlanCodec.encode(reply.term()))
                .setSequence(reply.sequence())
                .setGranted(reply.granted())
                .setHighestTerm(PlanCodec.encode(reply.highestTerm()))
                .setRosterRevision(reply.rosterRevision().value())
                .setAcknowledgedRoster(reply.acknowledgedRoster())
                .setAppliedOffset(reply.appliedOffset().value())
                .setRepliedAtMillis(reply.repliedAtMillis())
                .setAppliedPlanVersion(reply.appliedPlanVersion())
                .setReleasedPlanVersion(reply.releasedPlanVersion());
        reply.earlierTermPlan().ifPresent(plan -> builder.setHeld(PlanCodec.encode(plan)));
        reply.unreachableServers().forEach(server -> builder.addUnreachableServers(server.value()));
        reply.load().forEach(load -> builder.addLoad(encodeLoad(load)));
        return builder.build();
    }

    private static PeerMessage decodeHeartbeatReply(PeerWire.HeartbeatReply wire) {
        return new PeerMessage.HeartbeatReply(
                PlanCodec.decode(wire.getTerm()),
                wire.getSequence(),
                wire.getGranted(),
                PlanCodec.decode(wire.getHighestTerm()),
                new LogOffset(wire.getRosterRevision()),
                wire.getAcknowledgedRoster(),
                new LogOffset(wire.getAppliedOffset()),
                wire.getRepliedAtMillis(),
                wire.getAppliedPlanVersion(),
                wire.getReleasedPlanVersion(),
                wire.hasHeld() ? Optional.of(PlanCodec.decode(wire.getHeld())) : Optional.empty(),
                wire.getUnreachableServersList().stream().map(ServerId::new).toList(),
                wire.getLoadList().stream().map(PeerMessageCodec::decodeLoad).toList());
    }

    private static PeerWire.ServerLoad encodeLoad(ServerLoad load) {
        PeerWire.ServerLoad.Builder builder = PeerWire.ServerLoad.newBuilder()
                .setServer(load.server().value())
                .setRequestsPerSecond(load.requestsPerSecond());
        load.hottestShards()
                .forEach(hot -> builder.addHottestShards(PeerWire.ShardLoad.newBuilder()
                        .setApplication(hot.shard().application().value())
                        .setIndex(hot.shard().index())
                        .setRequestsPerSecond(hot.requestsPerSecond())
                        .setHottestKeyHash(hot.hottestKeyHash())
                        .setHottestKeyShareRatio(hot.hottestKeyShare())));
        return builder.build();
    }

    private static ServerLoad decodeLoad(PeerWire.ServerLoad wire) {
        List<ServerLoad.ShardLoad> hottest = wire.getHottestShardsList().stream()
                .map(hot -> new ServerLoad.ShardLoad(
                        new ShardId(new ApplicationId(hot.getApplication()), hot.getIndex()),
                        hot.getRequestsPerSecond(),
                        hot.getHottestKeyHash(),
                        hot.getHottestKeyShareRatio()))
                .toList();
        return new ServerLoad(new ServerId(wire.getServer()), wire.getRequestsPerSecond(), hottest);
    }

    private PeerWire.LogRecordsOffered encodeOffered(PeerMessage.LogRecordsOffered offered) {
        PeerWire.LogRecordsOffered.Builder builder = PeerWire.LogRecordsOffered.newBuilder()
                .setEndOffset(offered.endOffset().value());
        offered.entries()
                .forEach(entry -> builder.addRecords(PeerWire.EncodedRecord.newBuilder()
                        .setOffset(entry.offset().value())
                        .setData(ByteString.copyFrom(logEntries.encode(entry)))));
        return builder.build();
    }

    private PeerMessage decodeOffered(PeerWire.LogRecordsOffered wire) {
        return new PeerMessage.LogRecordsOffered(
                wire.getRecordsList().stream()
                        .map(record -> logEntries.decode(
                                new LogOffset(record.getOffset()),
                                record.getData().toByteArray()))
                        .toList(),
                new LogOffset(wire.getEndOffset()));
    }

    private static PeerMessage decodeProgress(PeerWire.ProgressReported wire) {
        return new PeerMessage.ProgressReported(
                new DataCentreId(wire.getDataCentre()),
                new LogOffset(wire.getAppliedOffset()),
                new LogOffset(wire.getConfigurationRevision()));
    }

    private static PeerWire.MembershipRequested encodeMembership(PeerMessage.MembershipRequested membership) {
        RosterMember member = membership.member();
        return PeerWire.MembershipRequested.newBuilder()
                .setDataCentre(membership.dataCentre().value())
                .setMember(PeerWire.RosterMember.newBuilder()
                        .setStart(PlanCodec.encode(member.start()))
                        .setHost(member.host())
                        .setPeerPort(member.peerPort()))
                .setLeaving(membership.leaving())
                .build();
    }

    private static PeerMessage decodeMembership(PeerWire.MembershipRequested wire) {
        PeerWire.RosterMember member = wire.getMember();
        return new PeerMessage.MembershipRequested(
                new DataCentreId(wire.getDataCentre()),
                new RosterMember(PlanCodec.decode(member.getStart()), member.getHost(), member.getPeerPort()),
                wire.getLeaving());
    }

    private static PeerWire.ServersObserved encodeObserved(PeerMessage.ServersObserved observed) {
        PeerWire.ServersObserved.Builder builder = PeerWire.ServersObserved.newBuilder();
        observed.conditions().forEach((server, condition) -> builder.putConditions(server.value(), condition.name()));
        return builder.build();
    }

    private static PeerMessage decodeObserved(PeerWire.ServersObserved wire) {
        Map<ServerId, ServerCondition> conditions = new HashMap<>();
        wire.getConditionsMap()
                .forEach((server, condition) ->
                        conditions.put(new ServerId(server), ServerCondition.valueOf(condition)));
        return new PeerMessage.ServersObserved(conditions);
    }
}
