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
 * One caller's connection. Requests that are sent ahead are worked on at once; answers leave in the
 * order of the requests, each as soon as those before it have left.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Requests that may be unanswered on one connection; above it, reading pauses. */
    private static final int MAX_PIPELINED_REQUESTS = 64;

    /** How long a caller may take to close its side after the last answer. */
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

    CallerConnection(CallerListener owner, CallerRequestHandler sink, LongSupplier clockMillis) {
        this.listener = owner;
        this.requestHandler = sink;
        this.clockMillis = clockMillis;
    }

    /** One request's place in the order of answers. */
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
        public void respond(int status, HttpHeaders headers, ByteBuf content) {
            if (response != null) {
                return;
            }
            response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    headRequest ? Unpooled.EMPTY_BUFFER : content.retainedDuplicate());
            response.headers().set(headers);
            if (status != HttpResponseStatus.NO_CONTENT.code() && status != HttpResponseStatus.NOT_MODIFIED.code()) {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            }
            writeReadyResponses();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        lastActiveMillis = clockMillis.getAsLong();
        listener.onOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.onClosed(this);
        closing = true;
        pendingResponses.stream()
                .filter(slot -> slot.response == null && slot.request != null)
                .forEach(slot -> requestHandler.onCallerDisconnected(slot.request));
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
            boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
            reject(
                    tooLong ? 431 : 400,
                    "the request head is not valid: " + request.decoderResult().cause());
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > listener.limits().maxBodyBytes()) {
            reject(413, "the request body is larger than " + listener.limits().maxBodyBytes() + " bytes");
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
            reject(
                    400,
                    "the request body is not valid: " + content.decoderResult().cause());
            return;
        }
        if (body.size() + (long) content.content().readableBytes()
                > listener.limits().maxBodyBytes()) {
            reject(413, "the request body is larger than " + listener.limits().maxBodyBytes() + " bytes");
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
        HttpRequest whole = head;
        head = null;
        PendingResponse slot = new PendingResponse(whole.method().equals(HttpMethod.HEAD), HttpUtil.isKeepAlive(whole));
        slot.request = new CallerRequest(
                whole.method().name(),
                whole.uri(),
                whole.headers(),
                Unpooled.wrappedBuffer(body.toByteArray()),
                headReadMillis,
                slot);
        body = null;
        pendingResponses.addLast(slot);
        if (pendingResponses.size() >= MAX_PIPELINED_REQUESTS) {
            channel.config().setAutoRead(false);
        }
        requestHandler.onRequest(slot.request);
    }

    private void reject(int status, String reason) {
        head = null;
        closing = true;
        PendingResponse slot = new PendingResponse(false, false);
        pendingResponses.addLast(slot);
        requestHandler.onInvalidRequest(status, reason);
        slot.respond(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    private void writeReadyResponses() {
        boolean wrote = false;
        while (!pendingResponses.isEmpty() && pendingResponses.peekFirst().response != null) {
            PendingResponse slot = pendingResponses.removeFirst();
            wrote = true;
            boolean ending = closing || draining || listener.isClosingAfterNextResponse();
            boolean last = !slot.keepAlive || (ending && pendingResponses.isEmpty());
            if (last) {
                slot.response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                closing = true;
                channel.writeAndFlush(slot.response).addListener(written -> closeAfterLinger());
                cancelPendingRequests();
                return;
            }
            channel.write(slot.response);
        }
        if (wrote) {
            channel.flush();
            lastActiveMillis = clockMillis.getAsLong();
            if (!channel.config().isAutoRead() && pendingResponses.size() < MAX_PIPELINED_REQUESTS) {
                channel.config().setAutoRead(true);
            }
        }
    }

    /** Closes our side only, because a close with unread bytes would reset the answer on its way. */
    private void closeAfterLinger() {
        if (channel instanceof DuplexChannel duplex && channel.isActive()) {
            duplex.shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            channel.close();
        }
    }

    /** Gives up requests that were sent behind one that ends the connection. */
    private void cancelPendingRequests() {
        pendingResponses.stream()
                .filter(slot -> slot.response == null && slot.request != null)
                .forEach(slot -> requestHandler.onCallerDisconnected(slot.request));
        pendingResponses.clear();
    }

    /** Ends a connection that is idle for too long or whose request stays unfinished for too long. */
    void checkTimeouts(long nowMillis) {
        long idleMillis = nowMillis - lastActiveMillis;
        if (head != null && nowMillis - headReadMillis > listener.limits().idleTimeoutMillis()) {
            reject(408, "the request body did not arrive in time");
        } else if (head == null
                && pendingResponses.isEmpty()
                && idleMillis > listener.limits().idleTimeoutMillis()) {
            close();
        }
    }

    /** Ends the connection once the requests that were taken are answered; later ones are left unread. */
    void drain() {
        if (isIdle()) {
            close();
        } else {
            draining = true;
        }
    }

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
