package org.lacewingthread.daemon.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/**
 * Relays requests to one other entry VM. A request that was never written is answered "not run"; one
 * that was written when the link failed is answered "outcome unknown".
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
        StreamHandle stream = new StreamHandle();
        link.loop().execute(() -> start(stream, request, sink));
        return () -> link.loop().execute(() -> cancel(stream));
    }

    /** Number of a relayed request on the link; known once the event loop started it. */
    private static final class StreamHandle {
        private long streamId = -1;
    }

    private void start(StreamHandle stream, RoutedRequest request, ResponseSink sink) {
        long nowMillis = clockMillis.getAsLong();
        if (nowMillis >= request.deadlineMillis()) {
            // Proof of not run: nothing was written yet.
            sink.onFailure(new Failure(ResultCode.DEADLINE_PASSED, 0, "before the request was relayed"));
            return;
        }
        long number = nextStreamId++;
        stream.streamId = number;
        openSinks.put(number, sink);
        link.send(RequestCodec.encode(number, request, nowMillis), () -> onNotSent(number));
    }

    private void onNotSent(long number) {
        ResponseSink sink = openSinks.remove(number);
        if (sink != null) {
            // Proof of not run: the link says that the frame never left this VM.
            sink.onFailure(new Failure(
                    ResultCode.RELAY_UNREACHABLE, RETRY_AFTER_MILLIS, "the entry VM can't be connected to"));
        }
    }

    private void cancel(StreamHandle stream) {
        if (openSinks.remove(stream.streamId) != null) {
            sendBestEffort(PeerWire.Frame.newBuilder()
                    .setRequestCancel(PeerWire.RequestCancel.newBuilder().setStream(stream.streamId))
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
                // Frames of a later minor version are of no concern here.
            }
        }
    }

    private void onHead(PeerWire.ResponseHead head) {
        ResponseSink sink = openSinks.get(head.getStream());
        if (sink != null) {
            sink.onHead(head.getStatus(), RequestCodec.decodeHeaders(head.getHeadersList()));
        }
    }

    private void onBody(PeerWire.ResponseBody body) {
        ResponseSink sink = openSinks.get(body.getStream());
        if (sink != null) {
            sink.onBody(body.getChunk().toByteArray(), () -> sendConsumed(body.getStream()));
        }
    }

    private void sendConsumed(long number) {
        sendBestEffort(PeerWire.Frame.newBuilder()
                .setResponseConsumed(PeerWire.ResponseConsumed.newBuilder().setStream(number))
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
