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
    private final Map<Long, ResponseSink> sinks = new HashMap<>();
    private PeerLink link;
    private long nextStream;

    RelayClient(LongSupplier clockMillis) {
        this.clockMillis = clockMillis;
    }

    /** Attaches the link; called once, before the first request. */
    void attach(PeerLink toMember) {
        this.link = toMember;
    }

    @Override
    public Cancellation handle(RoutedRequest request, ResponseSink sink) {
        Stream stream = new Stream();
        link.loop().execute(() -> start(stream, request, sink));
        return () -> link.loop().execute(() -> cancel(stream));
    }

    /** Number of a relayed request on the link; known once the event loop started it. */
    private static final class Stream {
        private long number = -1;
    }

    private void start(Stream stream, RoutedRequest request, ResponseSink sink) {
        long nowMillis = clockMillis.getAsLong();
        if (nowMillis >= request.deadlineMillis()) {
            // Proof of not run: nothing was written yet.
            sink.onFailure(new Failure(ResultCode.DEADLINE_PASSED, 0, "before the request was relayed"));
            return;
        }
        long number = nextStream++;
        stream.number = number;
        sinks.put(number, sink);
        link.send(RequestCodec.encode(number, request, nowMillis), () -> notSent(number));
    }

    private void notSent(long number) {
        ResponseSink sink = sinks.remove(number);
        if (sink != null) {
            // Proof of not run: the link says that the frame never left this VM.
            sink.onFailure(new Failure(
                    ResultCode.RELAY_UNREACHABLE, RETRY_AFTER_MILLIS, "the entry VM can't be connected to"));
        }
    }

    private void cancel(Stream stream) {
        if (sinks.remove(stream.number) != null) {
            sendQuietly(PeerWire.Frame.newBuilder()
                    .setRequestCancel(PeerWire.RequestCancel.newBuilder().setStream(stream.number))
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
        ResponseSink sink = sinks.get(head.getStream());
        if (sink != null) {
            sink.onHead(head.getStatus(), RequestCodec.decodeHeaders(head.getHeadersList()));
        }
    }

    private void onBody(PeerWire.ResponseBody body) {
        ResponseSink sink = sinks.get(body.getStream());
        if (sink != null) {
            sink.onBody(body.getChunk().toByteArray(), () -> consumed(body.getStream()));
        }
    }

    private void consumed(long number) {
        sendQuietly(PeerWire.Frame.newBuilder()
                .setResponseConsumed(PeerWire.ResponseConsumed.newBuilder().setStream(number))
                .build());
    }

    private void onEnd(PeerWire.ResponseEnd end) {
        ResponseSink sink = sinks.remove(end.getStream());
        if (sink != null) {
            sink.onEnd();
        }
    }

    private void onFailure(PeerWire.ResponseFailure failure) {
        ResponseSink sink = sinks.remove(failure.getStream());
        if (sink != null) {
            sink.onFailure(RequestCodec.decode(failure));
        }
    }

    void onDisconnected() {
        List<ResponseSink> lost = new ArrayList<>(sinks.values());
        sinks.clear();
        lost.forEach(sink -> sink.onFailure(
                new Failure(ResultCode.RELAY_LOST, RETRY_AFTER_MILLIS, "the link to the owner's entry VM was lost")));
    }

    private void sendQuietly(PeerWire.Frame frame) {
        link.send(frame, () -> {});
    }
}
