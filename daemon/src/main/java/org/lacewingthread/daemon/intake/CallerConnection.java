package org.lacewingthread.daemon.intake;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.lacewingthread.core.memory.EvictionReason;
import org.lacewingthread.core.memory.MemoryAccount;
import org.lacewingthread.core.memory.MemoryHolder;
import org.lacewingthread.daemon.reading.WatchedChannel;

/**
 * Handles one caller's HTTP/1.1 connection. Pipelined requests are processed concurrently; responses are
 * written in request order, each as soon as all earlier ones have been written.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Number of unanswered requests on one connection at which reading pauses. */
    private static final int MAX_PIPELINED_REQUESTS = 64;

    private final CallerListener listener;
    private final CallerRequestHandler requestHandler;
    private final LongSupplier clockMillis;
    private final Deque<PendingResponse> pendingResponses = new ArrayDeque<>();
    private final NewRequests newRequests = new NewRequests(this::handle);

    private final MemoryAccount account;
    private final ResponseWriter writer;
    private Channel channel;
    /** Null once a request was rejected. */
    private RequestDecoder decoder;

    private String callerAddress = "";
    /** The request that is being received; null between requests. */
    private IncomingRequest incoming;

    private long headReadMillis;
    private long headArrivedMillis;
    /** Whether the account lets the caller wait. */
    private boolean paused;

    private long lastActiveMillis;

    private boolean closing;
    private boolean draining;
    private boolean refusing;

    CallerConnection(CallerListener listener, CallerRequestHandler requestHandler, LongSupplier clockMillis) {
        this.listener = listener;
        this.requestHandler = requestHandler;
        this.account = listener.account();
        this.clockMillis = clockMillis;
        this.writer = new ResponseWriter(clockMillis, () -> lastActiveMillis = clockMillis.getAsLong());
    }

    /** Creates the decoder of this connection, which must precede it in the pipeline. */
    RequestDecoder newDecoder(int maxHeaderBytes) {
        decoder = new RequestDecoder(maxHeaderBytes, this::onHeadPart);
        return decoder;
    }

    /** Pauses and refuses the request that is being received. */
    private final class IncomingMemory implements MemoryHolder {
        @Override
        public void onPaused() {
            paused = true;
            updateReading();
        }

        @Override
        public void onResumed() {
            paused = false;
            updateReading();
        }

        @Override
        public void onEvicted(EvictionReason reason) {
            reject(reason == EvictionReason.TOO_SLOW ? 408 : 503, reason.description());
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        if (channel.remoteAddress() instanceof InetSocketAddress address) {
            callerAddress = address.getAddress().getHostAddress();
        }
        lastActiveMillis = clockMillis.getAsLong();
        refusing = listener.isDraining();
        listener.onOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.onClosed(this);
        closing = true;
        dropIncoming();
        cancelPendingRequests();
    }

    private void dropIncoming() {
        paused = false;
        if (incoming != null) {
            incoming.release();
            incoming = null;
        }
    }

    private void onHeadPart(int bytes, int lines) {
        if (!closing && !draining) {
            receiving().onHeadPart(bytes, lines);
        }
    }

    private IncomingRequest receiving() {
        if (incoming == null) {
            incoming = new IncomingRequest(
                    account, clockMillis, listener.headTimer(), callerAddress, new IncomingMemory());
        }
        return incoming;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        int undecodedBytes = decoder == null ? 0 : decoder.undecodedBytes();
        if (!closing && !draining && (incoming != null || undecodedBytes > 0)) {
            receiving().onUndecoded(undecodedBytes);
        }
        newRequests.onReadComplete(channel);
        context.fireChannelReadComplete();
    }

    private void handle(CallerRequest request) {
        if (refusing) {
            requestHandler.onRequestWhileStopping(request);
        } else {
            requestHandler.onRequest(request);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        newRequests.onDecoding();
        try {
            if (closing) {
                return;
            }
            lastActiveMillis = clockMillis.getAsLong();
            if (message instanceof HttpRequest request && !draining) {
                onHead(request);
            }
            if (message instanceof HttpContent content && hasHead()) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpRequest request) {
        Optional<HeadRefusal> refusal = HeadRefusal.of(request, listener.limits());
        if (refusal.isPresent()) {
            reject(refusal.get().httpStatus(), refusal.get().reason());
            return;
        }
        headReadMillis = lastActiveMillis;
        headArrivedMillis = WatchedChannel.arrivedMillis(channel, clockMillis);
        IncomingRequest received = receiving();
        received.onHead(request);
        if (received.exceedsMemory()) {
            reject(413, "the request is larger than the " + account.maxBytes() + " bytes of memory for all requests");
            return;
        }
        if (HttpUtil.is100ContinueExpected(request) && pendingResponses.isEmpty()) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            reject(400, "malformed request body: " + content.decoderResult().cause());
            return;
        }
        if (incoming.bodyBytes() + (long) content.content().readableBytes()
                > listener.limits().maxBodyBytes()) {
            reject(
                    413,
                    "the request body exceeds the limit of " + listener.limits().maxBodyBytes() + " bytes");
            return;
        }
        incoming.append(content.content());
        if (!hasHead()) {
            return;
        }
        if (content instanceof LastHttpContent) {
            onRequestComplete();
        }
    }

    private void onRequestComplete() {
        IncomingRequest received = incoming;
        HttpRequest request = received.head();
        ByteBuf body = received.complete();
        incoming = null;
        paused = false;
        PendingResponse pending = newResponse(request.method().equals(HttpMethod.HEAD), HttpUtil.isKeepAlive(request));
        pending.request = new CallerRequest(
                request.method().name(),
                request.uri(),
                request.headers(),
                body,
                headArrivedMillis,
                headReadMillis,
                pending);
        pending.received = received;
        pendingResponses.addLast(pending);
        newRequests.add(pending.request);
        updateReading();
    }

    private PendingResponse newResponse(boolean headRequest, boolean keepAlive) {
        UntakenResponse untaken = new UntakenResponse(account, clockMillis, callerAddress, (bytes, reason) -> {
            requestHandler.onResponseGivenUp(bytes, reason.label());
            close();
        });
        return new PendingResponse(
                headRequest, keepAlive, untaken, this::writeReadyResponses, () -> !newRequests.isOpen(channel));
    }

    private void reject(int status, String reason) {
        dropIncoming();
        if (decoder != null) {
            // Frees what it holds of the request; what still arrives is ignored.
            channel.pipeline().remove(decoder);
            decoder = null;
        }
        closing = true;
        updateReading();
        PendingResponse pending = newResponse(false, false);
        pendingResponses.addLast(pending);
        requestHandler.onInvalidRequest(status, reason);
        pending.reject(status);
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
                writer.write(channel, pending, this::closeAfterLinger);
                channel.flush();
                cancelPendingRequests();
                return;
            }
            writer.write(channel, pending, this::closeIfDrained);
        }
        if (written) {
            channel.flush();
            lastActiveMillis = clockMillis.getAsLong();
            updateReading();
        }
    }

    /** Closes a draining connection once the caller has taken the last response. */
    private void closeIfDrained() {
        if (draining && !closing && isIdle()) {
            closing = true;
            closeAfterLinger();
        }
    }

    /**
     * Reads no further requests while many are unanswered, while the caller does not take its responses, or while there is
     * no memory for its request. What follows the last request is read and ignored.
     */
    private void updateReading() {
        int unanswered = pendingResponses.size() - newRequests.readAheadCount();
        boolean takes = unanswered < MAX_PIPELINED_REQUESTS && channel.isWritable() && !paused;
        WatchedChannel.setReading(channel, closing || takes);
        if (takes) {
            newRequests.onResumed(channel);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        updateReading();
    }

    private void closeAfterLinger() {
        writer.closeAfterLinger(channel, listener.limits().idleTimeoutMillis());
    }

    /** Cancels the unanswered requests that follow the last response on this connection. */
    private void cancelPendingRequests() {
        pendingResponses.stream()
                .filter(PendingResponse::isUnanswered)
                .forEach(pending -> requestHandler.onCallerDisconnected(pending.request));
        pendingResponses.forEach(PendingResponse::release);
        pendingResponses.clear();
        newRequests.clear();
    }

    private boolean hasHead() {
        return incoming != null && incoming.head() != null;
    }

    /** Closes an idle connection, and rejects an incomplete request, after the idle timeout. */
    void checkTimeouts(long nowMillis) {
        long idleMillis = nowMillis - lastActiveMillis;
        if (hasHead() && nowMillis - headReadMillis > listener.limits().idleTimeoutMillis()) {
            reject(
                    408,
                    "the request body was not complete " + listener.limits().idleTimeoutMillis()
                            + " ms after the request head");
        } else if (!hasHead()
                && pendingResponses.isEmpty()
                && idleMillis > listener.limits().idleTimeoutMillis()) {
            close();
        }
    }

    /** Notices that the caller left while reading is paused. */
    void checkCaller() {
        if (!channel.config().isAutoRead() && isAnswering()) {
            newRequests.isOpen(channel);
        }
    }

    /** Refuses the request that is being received if its head takes too long; returns whether it was refused. */
    boolean refuseLateHead(long limitMillis, long nowMillis) {
        boolean late = incoming != null
                && incoming.isHeadLate(
                        listener.headTimer(), limitMillis, channel.config().isAutoRead(), nowMillis);
        if (late) {
            reject(408, "the request head was not complete after " + limitMillis + " ms");
        }
        return late;
    }

    /** Closes the connection once all received requests are answered; later requests are ignored. */
    void drain() {
        if (!refusing && isIdle()) {
            close();
        }
        draining |= !refusing;
    }

    long lastActiveMillis() {
        return lastActiveMillis;
    }

    /** Returns whether all requests on this connection are refused, which also closes it. */
    boolean isRefusing() {
        return refusing;
    }

    /** Returns whether no request is being received or waiting for a response, and no response for its caller. */
    boolean isIdle() {
        return !isAnswering() && !hasHead();
    }

    /** Returns whether a received request waits for its response, or a response for its caller. */
    boolean isAnswering() {
        return !pendingResponses.isEmpty() || writer.isWriting();
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
