package org.lacewingthread.daemon.peer;

import com.google.protobuf.ByteString;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.traffic.IdempotencyRecord;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/** Converts idempotency records, and the requests and replies about them, to frames and back. */
final class IdempotencyRecordCodec {
    private IdempotencyRecordCodec() {}

    static PeerWire.Frame encodePut(long number, IdempotencyRecord record) {
        return PeerWire.Frame.newBuilder()
                .setRecordPut(PeerWire.RecordPut.newBuilder().setNumber(number).setRecord(encode(record)))
                .build();
    }

    static PeerWire.Frame encodeAcknowledgement(long number, boolean stored) {
        return PeerWire.Frame.newBuilder()
                .setRecordAck(PeerWire.RecordAck.newBuilder().setNumber(number).setStored(stored))
                .build();
    }

    static PeerWire.Frame encodeCollect(long number, Set<ShardId> shards) {
        return PeerWire.Frame.newBuilder()
                .setRecordsWanted(PeerWire.RecordsWanted.newBuilder()
                        .setNumber(number)
                        .setShards(PlanCodec.encodeShards(List.copyOf(shards))))
                .build();
    }

    static Set<ShardId> decodeShards(PeerWire.RecordsWanted wanted) {
        return new HashSet<>(PlanCodec.decodeShards(wanted.getShards()));
    }

    static PeerWire.Frame encodeCollectReply(long number, IdempotencyRecordService.CollectReply reply) {
        PeerWire.RecordsGiven.Builder builder =
                PeerWire.RecordsGiven.newBuilder().setNumber(number).setWholeWindow(reply.coversWholeWindow());
        reply.records().forEach(record -> builder.addRecords(encode(record)));
        reply.departedProcesses().forEach(start -> builder.addGone(PlanCodec.encode(start)));
        return PeerWire.Frame.newBuilder().setRecordsGiven(builder).build();
    }

    static IdempotencyRecordService.CollectReply decode(PeerWire.RecordsGiven given) {
        return new IdempotencyRecordService.CollectReply(
                given.getRecordsList().stream()
                        .map(IdempotencyRecordCodec::decode)
                        .toList(),
                given.getGoneList().stream().map(PlanCodec::decode).collect(Collectors.toSet()),
                given.getWholeWindow());
    }

    static PeerWire.IdempotencyRecord encode(IdempotencyRecord record) {
        PeerWire.IdempotencyRecord.Builder builder = PeerWire.IdempotencyRecord.newBuilder()
                .setApplication(record.id().shard().application().value())
                .setShardIndex(record.id().shard().index())
                .setKey(record.id().key())
                .setFingerprint(record.fingerprint())
                .setState(record.state().name());
        if (record.outcome() != null) {
            builder.setOutcome(encode(record.outcome()));
        }
        return builder.build();
    }

    private static PeerWire.Outcome encode(IdempotencyRecord.Outcome outcome) {
        PeerWire.Outcome.Builder builder =
                PeerWire.Outcome.newBuilder().setStatus(outcome.status()).addAllHeaders(outcome.headers());
        if (outcome.body() != null) {
            builder.setBody(ByteString.copyFrom(outcome.body()));
        }
        return builder.build();
    }

    static IdempotencyRecord decode(PeerWire.IdempotencyRecord wire) {
        ShardId shard = new ShardId(new ApplicationId(wire.getApplication()), wire.getShardIndex());
        return new IdempotencyRecord(
                new IdempotencyRecord.Id(shard, wire.getKey()),
                wire.getFingerprint(),
                IdempotencyRecord.State.valueOf(wire.getState()),
                wire.hasOutcome() ? decode(wire.getOutcome()) : null);
    }

    private static IdempotencyRecord.Outcome decode(PeerWire.Outcome outcome) {
        byte[] body = outcome.hasBody() ? outcome.getBody().toByteArray() : null;
        return new IdempotencyRecord.Outcome(outcome.getStatus(), outcome.getHeadersList(), body);
    }
}
