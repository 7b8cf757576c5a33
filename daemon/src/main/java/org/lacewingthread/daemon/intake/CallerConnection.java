package org.lacewingthread.daemon.intake;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Handles one caller's HTTP/1.1 connection. Pipelined requests are processed concurrently; responses are
 * written in request order, each as soon as all earlier ones have been written.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Number of unanswered requests on one connection at which reading pauses. */
    private static final int MAX_PIPELINED_REQUESTS = 64;

    /** Time that a caller has to close its side of the connection after the last response. */
    private static final long LINGER_MILLIS = 1_000;

    private final CallerListener listener;
    private final CallerRequestHandler requestHandler;
    private final LongSupplier clockMillis;
    private final Deque<PendingResponse> pendingResponses = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    private ByteArrayOutputStream body;
    private long headReadMillis;
    private long lastActiveMillis;
    private boolean closing;
    private boolean draining;
    private boolean refusing;

    CallerConnection(CallerListener listener, CallerRequestHandler requestHandler, LongSupplier clockMillis) {
        this.listener = listener;
        this.requestHandler = requestHandler;
        this.clockMillis = clockMillis;
    }

    /** Response to one request, held until all earlier responses have been written. */
    private final class PendingResponse implements CallerResponder {
        private final boolean headRequest;
        private final boolean keepAlive;
        private CallerRequest request;
        private FullHttpResponse response;

        private PendingResponse(boolean headRequest, boolean keepAlive) {
            this.headRequest = headRequest;
            this.keepAlive = keepAlive;
        }

        @Override
        public void respond(int status, HttpHeaders headers, ByteBuf body) {
            if (response != null) {
                return;
            }
            response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    headRequest ? Unpooled.EMPTY_BUFFER : body.retainedDuplicate());
            response.headers().set(headers);
            if (status != HttpResponseStatus.NO_CONTENT.code() && status != HttpResponseStatus.NOT_MODIFIED.code()) {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            }
            writeReadyResponses();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        lastActiveMillis = clockMillis.getAsLong();
        refusing = listener.isDraining();
        listener.onOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.onClosed(this);
        closing = true;
        pendingResponses.stream()
                .filter(pending -> pending.response == null && pending.request != null)
                .forEach(pending -> requestHandler.onCallerDisconnected(pending.request));
        pendingResponses.clear();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            lastActiveMillis = clockMillis.getAsLong();
            if (closing) {
                return;
            }
            if (message instanceof HttpRequest request && !draining) {
                onHead(request);
            }
            if (message instanceof HttpContent content && head != null) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            boolean tooLarge = request.decoderResult().cause() instanceof TooLongFrameException;
            reject(
                    tooLarge ? 431 : 400,
                    "malformed request head: " + request.decoderResult().cause());
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > listener.limits().maxBodyBytes()) {
            reject(
                    413,
                    "the request body exceeds the limit of " + listener.limits().maxBodyBytes() + " bytes");
            return;
        }
        head = request;
        headReadMillis = lastActiveMillis;
        body = new ByteArrayOutputStream();
        if (HttpUtil.is100ContinueExpected(request) && pendingResponses.isEmpty()) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            reject(400, "malformed request body: " + content.decoderResult().cause());
            return;
        }
        if (body.size() + (long) content.content().readableBytes()
                > listener.limits().maxBodyBytes()) {
            reject(
                    413,
                    "the request body exceeds the limit of " + listener.limits().maxBodyBytes() + " bytes");
            return;
        }
        byte[] bytes = new byte[content.content().readableBytes()];
        content.content().readBytes(bytes);
        body.writeBytes(bytes);
        if (content instanceof LastHttpContent) {
            onRequestComplete();
        }
    }

    private void onRequestComplete() {
        HttpRequest request = head;
        head = null;
        PendingResponse pending =
                new PendingResponse(request.method().equals(HttpMethod.HEAD), HttpUtil.isKeepAlive(request));
        pending.request = new CallerRequest(
                request.method().name(),
                request.uri(),
                request.headers(),
                Unpooled.wrappedBuffer(body.toByteArray()),
                headReadMillis,
                pending);
        body = null;
        pendingResponses.addLast(pending);
        updateReading();
        if (refusing) {
            requestHandler.onRequestWhileStopping(pending.request);
        } else {
            requestHandler.onRequest(pending.request);
        }
    }

    private void reject(int status, String reason) {
        head = null;
        closing = true;
        PendingResponse pending = new PendingResponse(false, false);
        pendingResponses.addLast(pending);
        requestHandler.onInvalidRequest(status, reason);
        pending.respond(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    private void writeReadyResponses() {
        boolean written = false;
        while (!pendingResponses.isEmpty() && pendingResponses.peekFirst().response != null) {
            PendingResponse pending = pendingResponses.removeFirst();
            written = true;
            boolean closeWhenAnswered = closing || draining || refusing || listener.isClosingAfterNextResponse();
            boolean last = !pending.keepAlive || (closeWhenAnswered && pendingResponses.isEmpty());
            if (last) {
                pending.response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                closing = true;
                channel.writeAndFlush(pending.response).addListener(future -> closeAfterLinger());
                cancelPendingRequests();
                return;
            }
            channel.write(pending.response);
        }
        if (written) {
            channel.flush();
            lastActiveMillis = clockMillis.getAsLong();
            updateReading();
        }
    }

    /** Reads no further requests while many are unanswered, or while the caller does not take its responses. */
    private void updateReading() {
        channel.config().setAutoRead(pendingResponses.size() < MAX_PIPELINED_REQUESTS && channel.isWritable());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        updateReading();
    }

    /**
     * Closes the sending side first and the connection after {@link #LINGER_MILLIS} ms: a full close with unread
     * input would reset the connection and could destroy the last response in transit.
     */
    private void closeAfterLinger() {
        if (channel instanceof DuplexChannel duplex && channel.isActive()) {
            duplex.shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            channel.close();
        }
    }

    /** Cancels the unanswered requests that follow the last response on this connection. */
    private void cancelPendingRequests() {
        pendingResponses.stream()
                .filter(pending -> pending.response == null && pending.request != null)
                .forEach(pending -> requestHandler.onCallerDisconnected(pending.request));
        pendingResponses.clear();
    }

    /** Closes an idle connection, and rejects an incomplete request, after the idle timeout. */
    void checkTimeouts(long nowMillis) {
        long idleMillis = nowMillis - lastActiveMillis;
        if (head != null && nowMillis - headReadMillis > listener.limits().idleTimeoutMillis()) {
            reject(
                    408,
                    "the request body was not complete " + listener.limits().idleTimeoutMillis()
                            + " ms after the request head");
        } else if (head == null
                && pendingResponses.isEmpty()
                && idleMillis > listener.limits().idleTimeoutMillis()) {
            close();
        }
    }

    /** Closes the connection once all received requests are answered; later requests are ignored. */
    void drain() {
        if (refusing) {
            return;
        }
        if (isIdle()) {
            close();
        } else {
            draining = true;
        }
    }

    /** Returns whether all requests on this connection are refused, which also closes it. */
    boolean isRefusing() {
        return refusing;
    }

    /** Returns whether no request is being received or waiting for a response. */
    boolean isIdle() {
        return pendingResponses.isEmpty() && head == null;
    }

    void close() {
        closing = true;
        channel.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        requestHandler.onConnectionFailed(cause, pendingResponses.size());
        channel.close();
    }
}
