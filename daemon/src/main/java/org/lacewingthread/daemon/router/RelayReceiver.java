package org.lacewingthread.daemon.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.serving.Route;
import org.lacewingthread.core.serving.WeightedService;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RelayedRequest;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.intake.CallerRequest;
import org.lacewingthread.daemon.intake.CallerResponder;

/**
 * Takes requests that other entry VMs relay to this one, which sends them as those of its own callers, but never relays
 * them again. All methods run on the traffic thread.
 */
final class RelayReceiver implements RelayedRequest.Handler {
    /** Relayed requests at work here; more of them would crowd out this VM's own callers. */
    private static final int MAX_RELAYED_REQUESTS = 200;

    private static final long BUSY_RETRY_AFTER_MILLIS = 100;
    /** Bytes of a response in one frame, well below the limit of a frame. */
    private static final int MAX_CHUNK_BYTES = 1 << 20;

    private final RequestEngine engine;
    private final BooleanSupplier takesRequests;
    private int relayedCount;

    /**
     * Creates a receiver.
     *
     * @param takesRequests whether this VM reaches servers and is not about to stop
     */
    RelayReceiver(RequestEngine engine, BooleanSupplier takesRequests) {
        this.engine = engine;
        this.takesRequests = takesRequests;
    }

    @Override
    public RequestHandler.Cancellation handle(RelayedRequest relayed, ResponseSink sink) {
        if (!takesRequests.getAsBoolean()) {
            sink.onFailure(new Failure(ResultCode.SERVERS_UNREACHABLE, 0, "this entry VM reaches no server or stops"));
            return () -> {};
        }
        if (relayedCount >= MAX_RELAYED_REQUESTS) {
            sink.onFailure(new Failure(
                    ResultCode.OVERLOADED, BUSY_RETRY_AFTER_MILLIS, relayedCount + " relayed requests are at work"));
            return () -> {};
        }
        relayedCount++;
        CallerRequest request = toCallerRequest(relayed);
        engine.onRelayedRequest(number -> toActiveRequest(number, relayed, request, sink), () -> relayedCount--);
        return () -> engine.onCallerDisconnected(request);
    }

    /** Each request needs a responder of its own, since the engine finds requests by it. */
    private static final class RelayResponder implements CallerResponder {
        @Override
        public void respond(int status, HttpHeaders headers, ByteBuf body) {
            throw new IllegalStateException("a relayed request is answered to the entry VM that relayed it");
        }
    }

    private static CallerRequest toCallerRequest(RelayedRequest relayed) {
        HttpHeaders headers = new DefaultHttpHeaders();
        relayed.headers().forEach(field -> headers.add(field.name(), field.value()));
        long arrivedMillis = relayed.targetAtMillis() - relayed.targetLatencyMillis();
        return new CallerRequest(
                relayed.method(),
                relayed.target(),
                headers,
                Unpooled.wrappedBuffer(relayed.body()),
                arrivedMillis,
                new RelayResponder());
    }

    private static ActiveRequest toActiveRequest(
            long number, RelayedRequest relayed, CallerRequest request, ResponseSink sink) {
        long timeoutMillis = Math.max(1, relayed.deadlineMillis() - request.arrivedMillis());
        Route route = new Route(
                relayed.route(),
                "",
                "/",
                relayed.repeatability(),
                timeoutMillis,
                relayed.targetLatencyMillis(),
                relayed.priority(),
                relayed.maxAttempts(),
                List.of(new WeightedService(relayed.service(), 1)));
        ActiveRequest active = new ActiveRequest(
                number,
                request,
                relayed.requestId(),
                route,
                relayed.service(),
                relayed.key(),
                relayed.deadlineMillis(),
                Optional.of(sink));
        active.triedServers.addAll(relayed.avoidedServers());
        return active;
    }

    /** Sends a server's complete response to the entry VM that relayed the request. */
    static void respond(ResponseSink sink, ServerStart server, int status, HttpHeaders headers, ByteBuf body) {
        List<HeaderField> fields = new ArrayList<>();
        fields.add(RelayAttempt.answeredBy(server));
        headers.forEach(header -> fields.add(new HeaderField(header.getKey(), header.getValue())));
        sink.onHead(status, fields);
        ByteBuf unread = body.duplicate();
        while (unread.isReadable()) {
            byte[] chunk = new byte[Math.min(MAX_CHUNK_BYTES, unread.readableBytes())];
            unread.readBytes(chunk);
            sink.onBody(chunk, () -> {});
        }
        sink.onEnd();
    }
}
