package org.lacewingthread.daemon.router;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import org.lacewingthread.daemon.events.EventLog;

/** HTTP listener for small plain-text pages about this process, such as readiness and metrics. */
final class StatusListener {
    private static final int MAX_REQUEST_BYTES = 8_192;
    /** Holds a question about the longest host and path, if nine bytes encode each character. */
    private static final int MAX_LINE_BYTES = 24_576;

    private final EventLog events;
    private final BiFunction<HttpMethod, String, CompletionStage<Page>> pages;

    /**
     * Response to a request.
     *
     * @param status HTTP status
     * @param text body
     * @param contentType type of the body
     */
    record Page(HttpResponseStatus status, String text, String contentType) {
        /** Creates a page of plain text. */
        Page(HttpResponseStatus status, String text) {
            this(status, text, "text/plain; charset=utf-8");
        }
    }

    /**
     * Creates a listener without opening its port.
     *
     * @param events log that failures are written to
     * @param pages returns the page for a request's method and target, at once or later
     */
    StatusListener(EventLog events, BiFunction<HttpMethod, String, CompletionStage<Page>> pages) {
        this.events = events;
        this.pages = pages;
    }

    /** Opens the port and returns when it accepts connections. */
    Channel open(EventLoopGroup group, InetSocketAddress address) throws InterruptedException {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(MAX_LINE_BYTES, MAX_REQUEST_BYTES, MAX_REQUEST_BYTES))
                                .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                .addLast(new Handler());
                    }
                })
                .bind(address)
                .sync()
                .channel();
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        /** Completed when the last request of the connection is answered, so that responses keep the order of requests. */
        private CompletionStage<Void> lastAnswered = CompletableFuture.completedStage(null);

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            CompletionStage<Page> page = pages.apply(request.method(), request.uri());
            lastAnswered = lastAnswered.thenAcceptBoth(page, (ignored, made) -> answer(context, made, keepAlive));
            lastAnswered.exceptionally(cause -> {
                exceptionCaught(context, cause);
                return null;
            });
        }

        private static void answer(ChannelHandlerContext context, Page page, boolean keepAlive) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, page.status(), Unpooled.copiedBuffer(page.text(), StandardCharsets.UTF_8));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, page.contentType());
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            HttpUtil.setKeepAlive(response, keepAlive);
            context.writeAndFlush(response);
            if (!keepAlive) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            events.writeFailure("status.connection-failed", cause);
            context.close();
        }
    }
}
