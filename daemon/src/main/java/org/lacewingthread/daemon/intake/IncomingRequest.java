package org.lacewingthread.daemon.intake;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.function.LongSupplier;
import org.lacewingthread.core.memory.MemoryAccount;
import org.lacewingthread.core.memory.MemoryHolder;
import org.lacewingthread.core.memory.MemoryHolding;
import org.lacewingthread.core.memory.MemoryUse;
import org.lacewingthread.core.serving.HeadTimer;
import org.lacewingthread.daemon.http.SegmentedBody;

/** A request that is being received, with the memory that is counted for it. */
final class IncomingRequest {
    /** Memory is free again once the slow requests before this one are answered or given up, within about a second. */
    private static final int MEMORY_RETRY_AFTER_SECONDS = 1;

    /** Heap that a request takes beside head and body: objects of the connection, the dispatcher and the log. */
    private static final long REQUEST_BYTES = 2_048;
    /** Heap of a header line beside its text: an entry of a linked table, two strings and their arrays. */
    private static final long HEADER_LINE_BYTES = 160;
    /** What a chunked body is expected to have at first; the expectation doubles with what has arrived. */
    private static final long FIRST_CHUNKED_BYTES = 16_384;

    private final MemoryAccount account;
    private final LongSupplier clockMillis;
    /** Time in which the process had run at the first byte, or when it was read again. */
    private long startedMillis;

    private final MemoryHolding memory;
    private final SegmentedBody body = new SegmentedBody();
    private HttpRequest head;
    private long contentLengthBytes = -1;
    private long expectedBytes;
    private long undecodedBytes;

    IncomingRequest(
            MemoryAccount account, LongSupplier clockMillis, HeadTimer timer, String caller, MemoryHolder holder) {
        this.account = account;
        this.clockMillis = clockMillis;
        long nowMillis = clockMillis.getAsLong();
        startedMillis = timer.runningMillis(nowMillis);
        memory = account.open(caller, MemoryUse.INCOMPLETE_REQUEST, holder, nowMillis);
        account.add(memory, REQUEST_BYTES, nowMillis);
    }

    /** Returns whether the head takes too long; time in which the caller is not read doesn't count. */
    boolean isHeadLate(HeadTimer timer, long limitMillis, boolean reading, long nowMillis) {
        startedMillis = reading ? startedMillis : timer.runningMillis(nowMillis);
        return head == null && timer.isLate(startedMillis, limitMillis, nowMillis);
    }

    /** Counts a part of the head or trailer. */
    void onHeadPart(int bytes, int lines) {
        account.add(memory, bytes + lines * HEADER_LINE_BYTES, clockMillis.getAsLong());
    }

    /** Counts what the decoder holds of an unfinished line. */
    void onUndecoded(int bytes) {
        long change = bytes - undecodedBytes;
        undecodedBytes = bytes;
        if (change > 0) {
            account.add(memory, change, clockMillis.getAsLong());
        } else if (change < 0) {
            account.free(memory, -change, clockMillis.getAsLong());
        }
    }

    /** Takes the head and claims memory for the body; the sender is paused if there is not enough. */
    void onHead(HttpRequest request) {
        head = request;
        contentLengthBytes = HttpUtil.getContentLength(request, -1L);
        boolean chunked = HttpUtil.isTransferEncodingChunked(request);
        expect(chunked ? FIRST_CHUNKED_BYTES : Math.max(0, contentLengthBytes));
    }

    private void expect(long bytes) {
        expectedBytes = bytes;
        account.expect(memory, Math.min(bytes, account.maxBytes() - memory.heldBytes()), clockMillis.getAsLong());
    }

    /** Returns whether the body could not be held even if nothing else were. */
    boolean exceedsMemory() {
        return !account.canEverHold(memory.heldBytes() + Math.max(0, contentLengthBytes));
    }

    /** Takes a part of the body; the request may be given up meanwhile, which the memory's holder is told. */
    void append(ByteBuf bytes) {
        int count = bytes.readableBytes();
        long allocatedBytes = body.allocatedBytes();
        long remainingBytes = contentLengthBytes - body.sizeBytes() - count;
        body.append(bytes, remainingBytes);
        long nowMillis = clockMillis.getAsLong();
        account.onProgress(memory, count, nowMillis);
        account.add(memory, body.allocatedBytes() - allocatedBytes, nowMillis);
        if (contentLengthBytes < 0 && body.sizeBytes() >= expectedBytes) {
            expect(body.sizeBytes());
            expectedBytes = 2 * body.sizeBytes();
        }
    }

    /** Marks the request as complete and returns its body. */
    ByteBuf complete() {
        account.change(memory, MemoryUse.COMPLETE_REQUEST, clockMillis.getAsLong());
        return body.toByteBuf();
    }

    /** Frees the memory that is counted; further calls have no effect. */
    void release() {
        account.release(memory, clockMillis.getAsLong());
    }

    /** Returns the head; null until it is complete. */
    HttpRequest head() {
        return head;
    }

    long bodyBytes() {
        return body.sizeBytes();
    }

    /** Returns the headers of a response that ends a request before it is whole; a 503 says when memory may be free again. */
    static HttpHeaders rejectionHeaders(int status) {
        HttpHeaders headers = new DefaultHttpHeaders();
        return status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                ? headers.set(HttpHeaderNames.RETRY_AFTER, MEMORY_RETRY_AFTER_SECONDS)
                : headers;
    }
}
