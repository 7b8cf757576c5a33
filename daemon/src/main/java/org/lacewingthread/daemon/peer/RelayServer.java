package org.lacewingthread.daemon.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RelayedRequest;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.lacewingthread.daemon.peer.wire.PeerWire;
import org.lacewingthread.daemon.reading.WatchedChannel;

/**
 * Handles the requests that another entry VM relays over one connection. A request is handled once the read that brought it
 * is decoded, so that it can be cancelled by what came with it. Confined to the connection's event loop.
 */
final class RelayServer implements PeerServer.ConnectionHandler {
    private final Channel channel;
    private final RequestHandler handler;
    private final RelayedRequest.Handler routerHandler;
    private final LongSupplier clockMillis;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final Queue<Exchange> newExchanges = new ArrayDeque<>();
    /** Whether a read is being decoded, so that no further one may start. */
    private boolean decoding;

    /**
     * Creates a server for one connection.
     *
     * @param handler handles requests of entry VMs with route plans
     * @param routerHandler handles requests of routers
     */
    RelayServer(
            Channel channel, RequestHandler handler, RelayedRequest.Handler routerHandler, LongSupplier clockMillis) {
        this.channel = channel;
        this.handler = handler;
        this.routerHandler = routerHandler;
        this.clockMillis = clockMillis;
    }

    @Override
    public void onFrame(PeerWire.Frame frame) {
        decoding = true;
        switch (frame.getBodyCase()) {
            case REQUEST_START -> start(frame.getRequestStart());
            case ROUTE_REQUEST_START -> start(frame.getRouteRequestStart());
            case REQUEST_CANCEL -> cancel(frame.getRequestCancel().getStream());
            case RESPONSE_CONSUMED -> onConsumed(frame.getResponseConsumed().getStream());
            default -> throw new IllegalArgumentException(
                    "frame " + frame.getBodyCase() + " is not expected on a traffic link");
        }
    }

    private void start(PeerWire.RequestStart start) {
        RoutedRequest request = RequestCodec.decode(start, clockMillis.getAsLong());
        open(start.getStream(), exchange -> handler.handle(request, exchange));
    }

    private void start(PeerWire.RouteRequestStart start) {
        RelayedRequest request = RequestCodec.decode(start, clockMillis.getAsLong());
        open(start.getStream(), exchange -> routerHandler.handle(request, exchange));
    }

    private void open(long stream, Function<ResponseSink, RequestHandler.Cancellation> handling) {
        Exchange exchange = new Exchange(stream, handling);
        exchanges.put(stream, exchange);
        newExchanges.add(exchange);
    }

    @Override
    public void onReadComplete() {
        decoding = false;
        WatchedChannel.afterRead(channel, this::handleNewExchanges);
    }

    private void handleNewExchanges() {
        for (Exchange next = newExchanges.poll(); next != null; next = newExchanges.poll()) {
            if (exchanges.get(next.stream) == next) {
                next.cancellation = next.handling.apply(next);
            }
        }
    }

    private void cancel(long stream) {
        Exchange exchange = exchanges.remove(stream);
        if (exchange != null) {
            exchange.cancel();
        }
    }

    private void onConsumed(long stream) {
        Exchange exchange = exchanges.get(stream);
        Runnable next = exchange == null ? null : exchange.unconsumedCallbacks.poll();
        if (next != null) {
            next.run();
        }
    }

    @Override
    public void onDisconnected() {
        List<Exchange> open = List.copyOf(exchanges.values());
        exchanges.clear();
        open.forEach(Exchange::cancel);
    }

    /** Writes the response of one relayed request to the connection. */
    private final class Exchange implements ResponseSink {
        private final long stream;
        private final Function<ResponseSink, RequestHandler.Cancellation> handling;
        private final Queue<Runnable> unconsumedCallbacks = new ArrayDeque<>();
        /** Null until the request is handled. */
        private RequestHandler.Cancellation cancellation;

        private volatile boolean cancelled;

        Exchange(long stream, Function<ResponseSink, RequestHandler.Cancellation> handling) {
            this.stream = stream;
            this.handling = handling;
        }

        @Override
        public boolean isAbandoned() {
            boolean mayRead = channel.eventLoop().inEventLoop() && !decoding;
            boolean open = mayRead ? WatchedChannel.isOpenNow(channel) : channel.isActive();
            return !open || cancelled;
        }

        private void cancel() {
            cancelled = true;
            if (cancellation != null) {
                cancellation.cancel();
            }
        }

        @Override
        public void onHead(ResponseStatus status, List<HeaderField> headers) {
            PeerWire.ResponseHead.Builder head =
                    PeerWire.ResponseHead.newBuilder().setStream(stream).setStatus(status.httpStatus());
            headers.forEach(header -> head.addHeaders(RequestCodec.encode(header)));
            write(PeerWire.Frame.newBuilder().setResponseHead(head).build());
        }

        @Override
        public void onBody(byte[] chunk, Runnable consumed) {
            PeerWire.Frame frame = PeerWire.Frame.newBuilder()
                    .setResponseBody(
                            PeerWire.ResponseBody.newBuilder().setStream(stream).setChunk(ByteString.copyFrom(chunk)))
                    .build();
            channel.eventLoop().execute(() -> {
                unconsumedCallbacks.add(consumed);
                channel.writeAndFlush(frame, channel.voidPromise());
            });
        }

        @Override
        public void onEnd() {
            onEnd(() -> {});
        }

        @Override
        public void onEnd(Runnable passedOn) {
            PeerWire.Frame end = PeerWire.Frame.newBuilder()
                    .setResponseEnd(PeerWire.ResponseEnd.newBuilder().setStream(stream))
                    .build();
            channel.eventLoop().execute(() -> {
                exchanges.remove(stream);
                channel.writeAndFlush(end).addListener(written -> passedOn.run());
            });
        }

        @Override
        public void onFailure(Failure failure) {
            endExchange(RequestCodec.encode(stream, failure));
        }

        private void write(PeerWire.Frame frame) {
            channel.eventLoop().execute(() -> channel.writeAndFlush(frame, channel.voidPromise()));
        }

        private void endExchange(PeerWire.Frame frame) {
            channel.eventLoop().execute(() -> {
                exchanges.remove(stream);
                channel.writeAndFlush(frame, channel.voidPromise());
            });
        }
    }
}
