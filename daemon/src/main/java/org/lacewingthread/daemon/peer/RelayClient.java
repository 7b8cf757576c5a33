package org.lacewingthread.daemon.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.RelayedRequest;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/**
 * Relays requests to one other entry VM. A request that was never written to the link fails as not
 * run; one that was written before the link failed fails as outcome unknown.
 */
final class RelayClient implements RequestHandler {
    private static final long RETRY_AFTER_MILLIS = 200;

    private final LongSupplier clockMillis;
    private final Map<Long, ResponseSink> openSinks = new HashMap<>();
    private PeerLink link;
    private long nextStreamId;

    RelayClient(LongSupplier clockMillis) {
        this.clockMillis = clockMillis;
    }

    /** Attaches the link; called once, before the first request. */
    void attach(PeerLink toMember) {
        this.link = toMember;
    }

    @Override
    public Cancellation handle(RoutedRequest request, ResponseSink sink) {
        return handle(
                request.deadlineMillis(), (stream, nowMillis) -> RequestCodec.encode(stream, request, nowMillis), sink);
    }

    /** Relays a request of a router. */
    Cancellation handle(RelayedRequest request, ResponseSink sink) {
        return handle(
                request.deadlineMillis(), (stream, nowMillis) -> RequestCodec.encode(stream, request, nowMillis), sink);
    }

    /** Encodes the first frame of a request; times in it count from the moment of sending. */
    private interface StartEncoder {
        PeerWire.Frame encode(long stream, long nowMillis);
    }

    private Cancellation handle(long deadlineMillis, StartEncoder encoder, ResponseSink sink) {
        StreamHandle stream = new StreamHandle();
        link.loop().execute(() -> start(stream, deadlineMillis, encoder, sink));
        return () -> link.loop().execute(() -> cancel(stream.streamId));
    }

    /** Holds the stream id of a relayed request, which the event loop assigns when it sends the request. */
    private static final class StreamHandle {
        private long streamId = -1;
    }

    private void start(StreamHandle stream, long deadlineMillis, StartEncoder encoder, ResponseSink sink) {
        long nowMillis = clockMillis.getAsLong();
        if (nowMillis >= deadlineMillis) {
            // Certainly not run, as nothing was written yet.
            sink.onFailure(new Failure(ResultCode.DEADLINE_PASSED, 0, "before the request was relayed"));
            return;
        }
        long streamId = nextStreamId++;
        stream.streamId = streamId;
        openSinks.put(streamId, sink);
        link.send(encoder.encode(streamId, nowMillis), () -> onNotSent(streamId));
    }

    private void onNotSent(long streamId) {
        ResponseSink sink = openSinks.remove(streamId);
        if (sink != null) {
            // Certainly not run, as the frame never left this VM.
            sink.onFailure(new Failure(
                    ResultCode.RELAY_UNREACHABLE, RETRY_AFTER_MILLIS, "the entry VM can't be connected to"));
        }
    }

    private void cancel(long streamId) {
        if (openSinks.remove(streamId) != null) {
            sendBestEffort(PeerWire.Frame.newBuilder()
                    .setRequestCancel(PeerWire.RequestCancel.newBuilder().setStream(streamId))
                    .build());
        }
    }

    void onFrame(PeerWire.Frame frame) {
        switch (frame.getBodyCase()) {
            case RESPONSE_HEAD -> onHead(frame.getResponseHead());
            case RESPONSE_BODY -> onBody(frame.getResponseBody());
            case RESPONSE_END -> onEnd(frame.getResponseEnd());
            case RESPONSE_FAILURE -> onFailure(frame.getResponseFailure());
            default -> {
                // Unknown frames may come from a later minor version of the protocol and are ignored.
            }
        }
    }

    private void onHead(PeerWire.ResponseHead head) {
        ResponseSink sink = openSinks.get(head.getStream());
        if (sink == null) {
            return;
        }
        Optional<ResponseStatus> status = ResponseStatus.ofServer(head.getStatus());
        if (status.isPresent()) {
            sink.onHead(status.get(), RequestCodec.decodeHeaders(head.getHeadersList()));
            return;
        }
        // An older version forwards each status of its servers as it came.
        cancel(head.getStream());
        sink.onFailure(new Failure(ResultCode.SERVER_FAILED, 0, "its server answered " + head.getStatus()));
    }

    private void onBody(PeerWire.ResponseBody body) {
        ResponseSink sink = openSinks.get(body.getStream());
        if (sink != null) {
            sink.onBody(body.getChunk().toByteArray(), () -> sendConsumed(body.getStream()));
        }
    }

    private void sendConsumed(long streamId) {
        sendBestEffort(PeerWire.Frame.newBuilder()
                .setResponseConsumed(PeerWire.ResponseConsumed.newBuilder().setStream(streamId))
                .build());
    }

    private void onEnd(PeerWire.ResponseEnd end) {
        ResponseSink sink = openSinks.remove(end.getStream());
        if (sink != null) {
            sink.onEnd();
        }
    }

    private void onFailure(PeerWire.ResponseFailure failure) {
        ResponseSink sink = openSinks.remove(failure.getStream());
        if (sink != null) {
            sink.onFailure(RequestCodec.decode(failure));
        }
    }

    void onDisconnected() {
        List<ResponseSink> lost = new ArrayList<>(openSinks.values());
        openSinks.clear();
        lost.forEach(sink -> sink.onFailure(
                new Failure(ResultCode.RELAY_LOST, RETRY_AFTER_MILLIS, "the link to the owner's entry VM was lost")));
    }

    private void sendBestEffort(PeerWire.Frame frame) {
        link.send(frame, () -> {});
    }
}
