package org.lacewingthread.daemon.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.stream.ChunkedWriteHandler;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * An outgoing HTTP/1.1 connection with at most one request in progress. All methods must be called on the
 * connection's event loop.
 *
 * <pre>{@code
 * OutboundConnection.open(eventLoop, "10.0.0.7", 8080, 500, memory, (connection, failure) -> {
 *     if (connection != null) {
 *         connection.send(request, echoedHeader, listener);
 *     }
 * });
 * }</pre>
 */
public final class OutboundConnection {
    /** Maximum size of a response body; a larger one fails the request. */
    private static final int MAX_BODY_BYTES = 16 << 20;

    private final TrackedChannel channel;
    private final ConnectionMemory memory;
    private final ResponseDecoder decoder = new ResponseDecoder(new Expectation());
    private ResponseListener listener;
    private int sentRequests;
    private boolean awaitsHeadOnly;
    private EchoedHeader echoedHeader;
    private HttpResponse head;
    private SegmentedBody body;
    private boolean discardingResponse;
    /** The whole response while the read that brought it is not over; null otherwise. */
    private FullResponse wholeResponse;

    private boolean surplus;
    /** First response that was decoded behind the whole one; null if none was. */
    private HttpResponse surplusHead;

    private Consumer<DroppedResponse> dropListener = dropped -> {};
    private boolean reusable = true;
    private boolean requestWritten;
    private long idleLimitMillis = Long.MAX_VALUE;

    /**
     * A request header that the peer copies into its response. A response without it, or with another value, belongs to
     * no request or to an earlier one; it is discarded.
     *
     * @param name header name
     * @param value value in the request
     */
    public record EchoedHeader(String name, String value) {
        /** Returns whether a response carries this value and no other one. */
        boolean isIn(HttpResponse response) {
            List<String> values = response.headers().getAll(name);
            return !values.isEmpty() && values.stream().allMatch(value::equals);
        }
    }

    private OutboundConnection(TrackedChannel channel, ResponseMemory memory, String server) {
        this.channel = channel;
        this.memory = new ConnectionMemory(memory, server, this::fail);
    }

    /**
     * Opens a connection.
     *
     * @param eventLoop event loop that runs the connection
     * @param host host name or address of the peer
     * @param port port of the peer
     * @param connectTimeoutMillis connect timeout
     * @param memory bounds the response bodies of all connections of the event loop
     * @param result receives the connection, or null and the cause of the failure
     */
    public static void open(
            EventLoop eventLoop,
            String host,
            int port,
            int connectTimeoutMillis,
            ResponseMemory memory,
            BiConsumer<OutboundConnection, Throwable> result) {
        Bootstrap bootstrap = OutboundSockets.bootstrap(eventLoop, connectTimeoutMillis)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        OutboundConnection connection =
                                new OutboundConnection((TrackedChannel) channel, memory, host + ":" + port);
                        channel.pipeline()
                                .addLast(connection.decoder)
                                .addLast(new ForwardedRequestEncoder())
                                .addLast(new ChunkedWriteHandler())
                                .addLast(connection.new Handler());
                    }
                });
        bootstrap.connect(host, port).addListener((ChannelFuture future) -> {
            if (future.isSuccess()) {
                result.accept(future.channel().pipeline().get(Handler.class).connection(), null);
            } else {
                result.accept(null, future.cause());
            }
        });
    }

    /**
     * Sends a request. A peer's response that is whole is delivered at the end of the read that brought it. If more bytes
     * were read behind it, the connection ends. A response without an echoed header counts only if it can be no other
     * request's: a request that finds two responses on a connection that was used before fails as one that was sent.
     *
     * @param request request to send; its reference is released
     * @param echoedHeader header that identifies the response; null if the peer doesn't echo one
     * @param listener receives the response or the failure
     */
    public void send(FullHttpRequest request, EchoedHeader echoedHeader, ResponseListener listener) {
        if (!isUsable()) {
            request.release();
            listener.onFailure(false, "the connection was closed before the request was sent");
            return;
        }
        this.listener = listener;
        this.echoedHeader = echoedHeader;
        requestWritten = false;
        channel.onNewRequest();
        sentRequests++;
        awaitsHeadOnly = HttpMethod.HEAD.equals(request.method());
        HttpRequest headOnly =
                new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), request.headers());
        int bodyBytes = request.content().readableBytes();
        ChannelFuture written = BodySlices.write(channel, request, headOnly, memory::onTaken);
        written.addListener(future -> {
            memory.removeUnsent();
            requestWritten = future.isSuccess();
            if (!future.isSuccess()) {
                fail("writing the request failed: " + future.cause());
            }
        });
        channel.flush();
        if (!written.isDone()) {
            memory.addUnsent(request.headers(), bodyBytes);
        }
    }

    /** Sets who is told of responses that counted for no request. */
    void setDropListener(Consumer<DroppedResponse> newListener) {
        dropListener = newListener;
    }

    /** Returns whether a part of the response to the request in progress has arrived. */
    public boolean isReceiving() {
        return listener != null && head != null;
    }

    /** Returns whether the peer may have received a part of the newest request. */
    public boolean mayHaveSent() {
        return channel.tookBytes();
    }

    /** Returns whether a request can be sent now. */
    public boolean isUsable() {
        return channel.isActive() && reusable && listener == null;
    }

    /**
     * Returns how long the connection may stay idle before reuse, in milliseconds: the timeout in the peer's Keep-Alive
     * header less a margin, or {@link Long#MAX_VALUE} if the peer announced none.
     */
    public long idleLimitMillis() {
        return idleLimitMillis;
    }

    /** Closes the connection; a request in progress fails, and what is unsent of it is discarded. */
    public void close() {
        memory.release();
        end(listener != null);
    }

    /** Resets the connection, which discards unsent data; the listener of a request in progress is not called. */
    public void abort() {
        discardBody();
        listener = null;
        end(true);
    }

    /**
     * Ends the connection.
     *
     * @param discardUnsent whether to reset it; otherwise the kernel goes on delivering what was written, even seconds
     *     later, after the request has ended
     */
    private void end(boolean discardUnsent) {
        reusable = false;
        if (discardUnsent && channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    private void discardBody() {
        wholeResponse = null;
        body = null;
        head = null;
        memory.release();
    }

    private void fail(String reason) {
        if (wholeResponse != null) {
            reusable = false;
            deliver();
            return;
        }
        discardBody();
        ResponseListener current = listener;
        listener = null;
        end(current != null);
        if (current != null) {
            current.onFailure(channel.tookBytes(), reason);
        }
    }

    private void drop(DroppedResponse.Reason reason, HttpResponse response) {
        dropListener.accept(DroppedResponse.of(echoedHeader, response, reason));
    }

    private void onHead(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            drop(DroppedResponse.Reason.MALFORMED, response);
            fail("malformed response head: " + response.decoderResult().cause());
            return;
        }
        boolean interim = response.status().code() < 200;
        boolean foreign = !interim && echoedHeader != null && !echoedHeader.isIn(response);
        discardingResponse = interim || foreign;
        if (foreign) {
            reusable = false;
            boolean hasId = response.headers().contains(echoedHeader.name());
            drop(hasId ? DroppedResponse.Reason.OTHER_ID : DroppedResponse.Reason.NO_ID, response);
        }
        if (foreign && !ResponseDecoder.isFramed(response)) {
            fail("a response that is not the request's has no end, so that none can follow it");
            return;
        }
        memory.removeResponse();
        head = response;
        body = new SegmentedBody();
        memory.addHead(response.headers());
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            drop(DroppedResponse.Reason.MALFORMED, head);
            fail("malformed response body: " + content.decoderResult().cause());
            return;
        }
        if (head == null) {
            return;
        }
        ByteBuf bytes = content.content();
        if (body.sizeBytes() + bytes.readableBytes() > MAX_BODY_BYTES) {
            fail("the response body exceeds the limit of " + MAX_BODY_BYTES + " bytes");
            return;
        }
        memory.addBody(bytes.readableBytes());
        if (body == null) {
            return;
        }
        body.append(bytes, 0);
        if (content instanceof LastHttpContent) {
            onResponseComplete();
        }
    }

    private void onResponseComplete() {
        memory.removeResponse();
        HttpResponse response = head;
        head = null;
        if (discardingResponse) {
            return;
        }
        if (echoedHeader == null && !requestWritten) {
            drop(DroppedResponse.Reason.UNASKED, response);
            fail("a response arrived before the request was written");
            return;
        }
        reusable &= requestWritten && ResponseDecoder.isFramed(response) && HttpUtil.isKeepAlive(response);
        KeepAliveHeader.idleLimitMillis(response.headers().get(KeepAliveHeader.NAME))
                .ifPresent(millis -> idleLimitMillis = millis);
        surplus = decoder.hasUndecodedBytes();
        wholeResponse = new FullResponse(response.status().code(), response.headers(), body.toByteBuf());
    }

    /** Hands a whole response over, once nothing that was read with it is left that the next request could meet. */
    private void deliver() {
        FullResponse response = wholeResponse;
        boolean doubtful = surplus && echoedHeader == null && sentRequests > 1;
        ResponseListener current = listener;
        wholeResponse = null;
        listener = null;
        if (surplus) {
            reusable = false;
            drop(DroppedResponse.Reason.SURPLUS_BYTES, surplusHead);
        }
        echoedHeader = null;
        if (!reusable) {
            end(!requestWritten);
        }
        if (doubtful) {
            current.onFailure(true, "more than one response came on a connection that was used before");
        } else {
            current.onResponse(response);
        }
    }

    private final class Expectation implements ResponseDecoder.Expectation {
        @Override
        public boolean awaitsResponse() {
            return listener != null && wholeResponse == null;
        }

        @Override
        public boolean awaitsHeadOnly() {
            return awaitsHeadOnly;
        }

        @Override
        public void onUnaskedBytes() {
            surplus = true;
            reusable = false;
            if (listener == null && channel.isActive()) {
                echoedHeader = null;
                drop(DroppedResponse.Reason.UNASKED, null);
                end(false);
            }
        }
    }

    private final class Handler extends ChannelInboundHandlerAdapter {
        OutboundConnection connection() {
            return OutboundConnection.this;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                // What was decoded behind a whole response belongs to no request.
                boolean awaited = listener != null && wholeResponse == null;
                if (wholeResponse != null && surplusHead == null && message instanceof HttpResponse response) {
                    surplusHead = response;
                }
                if (awaited && message instanceof HttpResponse response) {
                    onHead(response);
                }
                if (awaited && message instanceof HttpContent content && listener != null) {
                    onContent(content);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (wholeResponse != null) {
                deliver();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail("the peer closed the connection before the response was complete");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail("the connection failed: " + cause);
        }
    }
}
