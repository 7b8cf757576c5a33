package org.lacewingthread.daemon.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.traffic.IdempotencyRecord;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/**
 * Sends idempotency records and requests for them to one other entry VM. All state is confined to the link's
 * event loop.
 */
final class IdempotencyRecordClient {
    private static final long REPLY_TIMEOUT_MILLIS = 150;

    private final Map<Long, Consumer<Optional<PeerWire.Frame>>> pendingRequests = new HashMap<>();
    private PeerLink link;
    private long nextRequestNumber;

    void attach(PeerLink toMember) {
        this.link = toMember;
    }

    /** Asks the VM to store a copy of a record; the result is false if it is not acknowledged in time. */
    void put(IdempotencyRecord record, Consumer<Boolean> onResult) {
        sendRequest(
                number -> IdempotencyRecordCodec.encodePut(number, record),
                reply -> onResult.accept(
                        reply.map(frame -> frame.getRecordAck().getStored()).orElse(false)));
    }

    /** Requests the records of some shards; the result is empty if no reply arrives in time. */
    void collect(Set<ShardId> shards, Consumer<Optional<IdempotencyRecordService.CollectReply>> onResult) {
        sendRequest(
                number -> IdempotencyRecordCodec.encodeCollect(number, shards),
                reply -> onResult.accept(reply.map(frame -> IdempotencyRecordCodec.decode(frame.getRecordsGiven()))));
    }

    private void sendRequest(LongFunction<PeerWire.Frame> request, Consumer<Optional<PeerWire.Frame>> onReply) {
        link.loop().execute(() -> {
            long number = nextRequestNumber++;
            pendingRequests.put(number, onReply);
            link.send(request.apply(number), () -> complete(number, Optional.empty()));
            link.loop().schedule(() -> complete(number, Optional.empty()), REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    private void complete(long number, Optional<PeerWire.Frame> frame) {
        Consumer<Optional<PeerWire.Frame>> onReply = pendingRequests.remove(number);
        if (onReply != null) {
            onReply.accept(frame);
        }
    }

    /** Completes the request that a frame replies to; returns false if the frame is no reply about records. */
    boolean onFrame(PeerWire.Frame frame) {
        if (frame.hasRecordAck()) {
            complete(frame.getRecordAck().getNumber(), Optional.of(frame));
            return true;
        }
        if (frame.hasRecordsGiven()) {
            complete(frame.getRecordsGiven().getNumber(), Optional.of(frame));
            return true;
        }
        return false;
    }

    void onDisconnected() {
        List<Long> lost = new ArrayList<>(pendingRequests.keySet());
        lost.forEach(number -> complete(number, Optional.empty()));
    }
}
