package org.lacewingthread.daemon.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.memory.EvictionReason;
import org.lacewingthread.core.memory.MemoryAccount;
import org.lacewingthread.core.memory.MemoryHolder;
import org.lacewingthread.core.memory.MemoryHolding;
import org.lacewingthread.core.memory.MemoryUse;
import org.lacewingthread.core.serving.Route;
import org.lacewingthread.core.serving.WeightedService;
import org.lacewingthread.core.traffic.ResponseStatus;
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
    private final MemoryAccount account;
    private final LongSupplier clockMillis;
    private final BooleanSupplier takesRequests;
    private int relayedCount;
    /** Responses that the connections to other entry VMs have not taken yet. */
    private int unwrittenResponses;

    /**
     * Creates a receiver.
     *
     * @param account counts the bodies of relayed requests and their responses
     * @param clockMillis monotonic clock in milliseconds
     * @param takesRequests whether this VM reaches servers and is not about to stop
     */
    RelayReceiver(
            RequestEngine engine, MemoryAccount account, LongSupplier clockMillis, BooleanSupplier takesRequests) {
        this.engine = engine;
        this.account = account;
        this.clockMillis = clockMillis;
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
        if (!account.hasRoomFor(relayed.body().length)) {
            sink.onFailure(
                    new Failure(ResultCode.OVERLOADED, BUSY_RETRY_AFTER_MILLIS, "the memory for requests is used up"));
            return () -> {};
        }
        relayedCount++;
        CallerRequest request = toCallerRequest(relayed, sink);
        MemoryHolding memory = hold(relayed.body().length);
        ResponseSink counted = new CountedSink(sink, account, clockMillis, change -> unwrittenResponses += change);
        engine.onRelayedRequest(number -> toActiveRequest(number, relayed, request, counted), () -> {
            relayedCount--;
            account.release(memory, clockMillis.getAsLong());
        });
        return () -> engine.onCallerDisconnected(request);
    }

    /** Returns whether no relayed request is at work here, and each response was handed to its entry VM. */
    boolean isIdle() {
        return relayedCount == 0 && unwrittenResponses == 0;
    }

    private MemoryHolding hold(long bytes) {
        MemoryHolder neverAsked = new MemoryHolder() {
            @Override
            public void onPaused() {
                throw new IllegalStateException("a relayed request was paused, but it is complete");
            }

            @Override
            public void onResumed() {
                throw new IllegalStateException("a relayed request was resumed, but it is complete");
            }

            @Override
            public void onEvicted(EvictionReason reason) {
                throw new IllegalStateException("a relayed request was given up, but it is complete");
            }
        };
        MemoryHolding memory = account.open("relayed", MemoryUse.COMPLETE_REQUEST, neverAsked, clockMillis.getAsLong());
        account.add(memory, bytes, clockMillis.getAsLong());
        return memory;
    }

    /** Each request needs a responder of its own, since the engine finds requests by it. */
    private static final class RelayResponder implements CallerResponder {
        private final ResponseSink sink;

        RelayResponder(ResponseSink sink) {
            this.sink = sink;
        }

        @Override
        public boolean hasCallerLeft() {
            return sink.isAbandoned();
        }

        @Override
        public void respond(ResponseStatus status, HttpHeaders headers, ByteBuf body) {
            throw new IllegalStateException("a relayed request is answered to the entry VM that relayed it");
        }
    }

    private static CallerRequest toCallerRequest(RelayedRequest relayed, ResponseSink sink) {
        HttpHeaders headers = new DefaultHttpHeaders();
        relayed.headers().forEach(field -> headers.add(field.name(), field.value()));
        long arrivedMillis = relayed.targetAtMillis() - relayed.targetLatencyMillis();
        return new CallerRequest(
                relayed.method(),
                relayed.target(),
                headers,
                Unpooled.wrappedBuffer(relayed.body()),
                arrivedMillis,
                arrivedMillis,
                new RelayResponder(sink));
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
    static void respond(
            ResponseSink sink, ServerStart server, ResponseStatus status, HttpHeaders headers, ByteBuf body) {
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
