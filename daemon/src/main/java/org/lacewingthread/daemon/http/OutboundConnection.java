package org.lacewingthread.daemon.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.BiConsumer;
import jdk.net.ExtendedSocketOptions;

/**
 * One connection that carries one request at a time. All methods run on the connection's event loop.
 *
 * <pre>{@code
 * OutboundConnection.open(eventLoop, "10.0.0.7", 8080, 500, (connection, failure) -> {
 *     if (connection != null) {
 *         connection.send(request, echo, listener);
 *     }
 * });
 * }</pre>
 */
public final class OutboundConnection {
    /** Largest response body; larger ones count as broken. */
    private static final int MAX_BODY_BYTES = 64 << 20;

    private static final int MAX_STATUS_LINE_BYTES = 16_384;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;
    /** Keep-alive probes find a silent peer after about three seconds. */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBE_COUNT = 2;
    /** Taken off the idle time that a peer states, so that its close does not cross a request. */
    private static final long IDLE_MARGIN_MILLIS = 1_000;

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final String KEEP_ALIVE_HEADER = "keep-alive";
    private static final String TIMEOUT_PARAMETER = "timeout=";

    private final Channel channel;
    private ResponseListener listener;
    private EchoedHeader echoedHeader;
    private HttpResponse head;
    private ByteArrayOutputStream body;
    private boolean discardingResponse;
    private boolean reusable = true;
    private boolean requestWritten;
    private long idleLimitMillis = Long.MAX_VALUE;

    /**
     * A header that the peer returns as it was sent; a response with another value belongs to an
     * earlier request and is skipped.
     *
     * @param name header name
     * @param value value that was sent
     */
    public record EchoedHeader(String name, String value) {}

    private OutboundConnection(Channel channel) {
        this.channel = channel;
    }

    /**
     * Opens a connection.
     *
     * @param connectTimeoutMillis longest time to connect
     * @param result takes the connection, or null and what went wrong
     */
    public static void open(
            EventLoop eventLoop,
            String host,
            int port,
            int connectTimeoutMillis,
            BiConsumer<OutboundConnection, Throwable> result) {
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBE_COUNT)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        OutboundConnection connection = new OutboundConnection(channel);
                        channel.pipeline()
                                .addLast(new HttpClientCodec(MAX_STATUS_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                                .addLast(connection.new Handler());
                    }
                });
        bootstrap.connect(host, port).addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                result.accept(connected.channel().pipeline().get(Handler.class).connection(), null);
            } else {
                result.accept(null, connected.cause());
            }
        });
    }

    /**
     * Sends a request.
     *
     * @param request takes over its reference
     * @param echoed header that identifies the response; null if the peer returns none
     * @param responses takes the outcome
     */
    public void send(FullHttpRequest request, EchoedHeader echoed, ResponseListener responses) {
        if (!isUsable()) {
            request.release();
            responses.onFailure(false, "the connection was closed before the request was sent");
            return;
        }
        listener = responses;
        echoedHeader = echoed;
        requestWritten = false;
        channel.writeAndFlush(request).addListener(written -> {
            requestWritten = written.isSuccess();
            if (!written.isSuccess()) {
                fail("sending failed: " + written.cause());
            }
        });
    }

    /** Tells whether another request may be sent now. */
    public boolean isUsable() {
        return channel.isActive() && reusable && listener == null;
    }

    /** Returns how long the peer keeps the connection open without a request, less a margin. */
    public long idleLimitMillis() {
        return idleLimitMillis;
    }

    /** Closes the connection; a request on it gets no answer. */
    public void close() {
        reusable = false;
        channel.close();
    }

    /** Closes the connection with a reset, so that bytes that are still on their way are dropped. */
    public void abort() {
        listener = null;
        reusable = false;
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    private void fail(String reason) {
        ResponseListener waiting = listener;
        listener = null;
        reusable = false;
        channel.close();
        if (waiting != null) {
            waiting.onFailure(true, reason);
        }
    }

    private void onHead(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            fail("the response is not valid HTTP: " + response.decoderResult().cause());
            return;
        }
        boolean interim = response.status().code() < 200;
        boolean foreign = echoedHeader != null
                && response.headers().contains(echoedHeader.name())
                && !echoedHeader.value().equals(response.headers().get(echoedHeader.name()));
        discardingResponse = interim || foreign;
        if (foreign) {
            reusable = false;
        }
        head = response;
        body = new ByteArrayOutputStream();
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail("the response body is not valid: " + content.decoderResult().cause());
            return;
        }
        if (head == null) {
            return;
        }
        ByteBuf bytes = content.content();
        if (body.size() + bytes.readableBytes() > MAX_BODY_BYTES) {
            fail("the response body is larger than " + MAX_BODY_BYTES + " bytes");
            return;
        }
        try {
            bytes.readBytes(body, bytes.readableBytes());
        } catch (IOException e) {
            fail("the response body can't be kept: " + e);
            return;
        }
        if (content instanceof LastHttpContent) {
            onResponseComplete();
        }
    }

    private void onResponseComplete() {
        HttpResponse ended = head;
        head = null;
        if (discardingResponse) {
            return;
        }
        boolean framed = HttpUtil.isContentLengthSet(ended) || HttpUtil.isTransferEncodingChunked(ended);
        reusable &= requestWritten && framed && HttpUtil.isKeepAlive(ended);
        readIdleLimit(ended.headers().get(KEEP_ALIVE_HEADER));
        ResponseListener waiting = listener;
        listener = null;
        if (!reusable) {
            channel.close();
        }
        waiting.onResponse(
                new FullResponse(ended.status().code(), ended.headers(), Unpooled.wrappedBuffer(body.toByteArray())));
    }

    private void readIdleLimit(String keepAlive) {
        int at = keepAlive == null ? -1 : keepAlive.indexOf(TIMEOUT_PARAMETER);
        if (at < 0) {
            return;
        }
        String digits = keepAlive.substring(at + TIMEOUT_PARAMETER.length()).split("[^0-9]", 2)[0];
        if (!digits.isEmpty() && digits.length() < 8) {
            idleLimitMillis = Math.max(0, Long.parseLong(digits) * MILLIS_PER_SECOND - IDLE_MARGIN_MILLIS);
        }
    }

    private final class Handler extends ChannelInboundHandlerAdapter {
        OutboundConnection connection() {
            return OutboundConnection.this;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                if (listener == null) {
                    reusable = false;
                    channel.close();
                    return;
                }
                if (message instanceof HttpResponse response) {
                    onHead(response);
                }
                if (message instanceof HttpContent content && listener != null) {
                    onContent(content);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail("the peer closed the connection before its answer was whole");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail("the connection failed: " + cause);
        }
    }
}
