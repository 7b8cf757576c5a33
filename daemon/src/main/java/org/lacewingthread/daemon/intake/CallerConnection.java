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
    private static final int MAX_UNANSWERED = 64;

    /** How long a caller may take to close its side after the last answer. */
    private static final long LINGER_MILLIS = 1_000;

    private final CallerListener owner;
    private final RequestSink sink;
    private final LongSupplier clockMillis;
    private final Deque<Slot> slots = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    private ByteArrayOutputStream body;
    private long headReadMillis;
    private long lastActiveMillis;
    private boolean closing;
    private boolean takingNoMore;

    CallerConnection(CallerListener owner, RequestSink sink, LongSupplier clockMillis) {
        this.owner = owner;
        this.sink = sink;
        this.clockMillis = clockMillis;
    }

    /** One request's place in the order of answers. */
    private final class Slot implements CallerReply {
        private final boolean headRequest;
        private final boolean keepAlive;
        private CallerRequest request;
        private FullHttpResponse response;

        private Slot(boolean headRequest, boolean keepAlive) {
            this.headRequest = headRequest;
            this.keepAlive = keepAlive;
        }

        @Override
        public void answer(int status, HttpHeaders headers, ByteBuf content) {
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
            writeReady();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        lastActiveMillis = clockMillis.getAsLong();
        owner.onOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        owner.onClosed(this);
        closing = true;
        slots.stream()
                .filter(slot -> slot.response == null && slot.request != null)
                .forEach(slot -> sink.onCallerGone(slot.request));
        slots.clear();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            lastActiveMillis = clockMillis.getAsLong();
            if (closing) {
                return;
            }
            if (message instanceof HttpRequest request && !takingNoMore) {
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
        if (HttpUtil.getContentLength(request, 0L) > owner.limits().maxBodyBytes()) {
            reject(413, "the request body is larger than " + owner.limits().maxBodyBytes() + " bytes");
            return;
        }
        head = request;
        headReadMillis = lastActiveMillis;
        body = new ByteArrayOutputStream();
        if (HttpUtil.is100ContinueExpected(request) && slots.isEmpty()) {
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
                > owner.limits().maxBodyBytes()) {
            reject(413, "the request body is larger than " + owner.limits().maxBodyBytes() + " bytes");
            return;
        }
        byte[] bytes = new byte[content.content().readableBytes()];
        content.content().readBytes(bytes);
        body.writeBytes(bytes);
        if (content instanceof LastHttpContent) {
            onWhole();
        }
    }

    private void onWhole() {
        HttpRequest whole = head;
        head = null;
        Slot slot = new Slot(whole.method().equals(HttpMethod.HEAD), HttpUtil.isKeepAlive(whole));
        slot.request = new CallerRequest(
                whole.method().name(),
                whole.uri(),
                whole.headers(),
                Unpooled.wrappedBuffer(body.toByteArray()),
                headReadMillis,
                slot);
        body = null;
        slots.addLast(slot);
        if (slots.size() >= MAX_UNANSWERED) {
            channel.config().setAutoRead(false);
        }
        sink.onRequest(slot.request);
    }

    private void reject(int status, String reason) {
        head = null;
        closing = true;
        Slot slot = new Slot(false, false);
        slots.addLast(slot);
        sink.onInvalid(status, reason);
        slot.answer(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    private void writeReady() {
        boolean wrote = false;
        while (!slots.isEmpty() && slots.peekFirst().response != null) {
            Slot slot = slots.removeFirst();
            wrote = true;
            boolean ending = closing || takingNoMore || owner.isStopping();
            boolean last = !slot.keepAlive || (ending && slots.isEmpty());
            if (last) {
                slot.response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                closing = true;
                channel.writeAndFlush(slot.response).addListener(written -> endGently());
                abandonRest();
                return;
            }
            channel.write(slot.response);
        }
        if (wrote) {
            channel.flush();
            lastActiveMillis = clockMillis.getAsLong();
            if (!channel.config().isAutoRead() && slots.size() < MAX_UNANSWERED) {
                channel.config().setAutoRead(true);
            }
        }
    }

    /** Closes our side only, because a close with unread bytes would reset the answer on its way. */
    private void endGently() {
        if (channel instanceof DuplexChannel duplex && channel.isActive()) {
            duplex.shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            channel.close();
        }
    }

    /** Gives up requests that were sent behind one that ends the connection. */
    private void abandonRest() {
        slots.stream()
                .filter(slot -> slot.response == null && slot.request != null)
                .forEach(slot -> sink.onCallerGone(slot.request));
        slots.clear();
    }

    /** Ends a connection that is idle for too long or whose request stays unfinished for too long. */
    void checkTime(long nowMillis) {
        long idleMillis = nowMillis - lastActiveMillis;
        if (head != null && nowMillis - headReadMillis > owner.limits().idleTimeoutMillis()) {
            reject(408, "the request body did not arrive in time");
        } else if (head == null
                && slots.isEmpty()
                && idleMillis > owner.limits().idleTimeoutMillis()) {
            close();
        }
    }

    /** Ends the connection once the requests that were taken are answered; later ones are left unread. */
    void takeNoMore() {
        if (isIdle()) {
            close();
        } else {
            takingNoMore = true;
        }
    }

    boolean isIdle() {
        return slots.isEmpty() && head == null;
    }

    void close() {
        closing = true;
        channel.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        sink.onConnectionFailed(cause, slots.size());
        channel.close();
    }
}
