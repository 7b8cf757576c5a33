package org.lacewingthread.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the bytes of a body in segments that are never copied again. Small pieces share a segment, so that a body in
 * tiny chunks takes no more memory than one in large ones.
 *
 * <pre>{@code
 * SegmentedBody body = new SegmentedBody();
 * body.append(bytes, remainingBytes);
 * ByteBuf whole = body.toByteBuf();
 * }</pre>
 */
public final class SegmentedBody {
    /** First segment of a body of unknown size; most bodies are small. */
    private static final int MIN_SEGMENT_BYTES = 512;
    /** Bounds the unused rest of the last segment. */
    private static final int MAX_SEGMENT_BYTES = 65_536;

    private final List<byte[]> segments = new ArrayList<>();
    private int usedBytesOfLast;
    private long sizeBytes;
    private long allocatedBytes;

    /**
     * Appends bytes, which are read from the buffer.
     *
     * @param bytes bytes to append
     * @param remainingBytes bytes that will follow, as far as known; 0 otherwise
     */
    public void append(ByteBuf bytes, long remainingBytes) {
        while (bytes.isReadable()) {
            byte[] last = segments.isEmpty() ? new byte[0] : segments.get(segments.size() - 1);
            if (usedBytesOfLast == last.length) {
                last = newSegment(bytes.readableBytes() + Math.max(0, remainingBytes), remainingBytes > 0);
            }
            int count = Math.min(bytes.readableBytes(), last.length - usedBytesOfLast);
            bytes.readBytes(last, usedBytesOfLast, count);
            usedBytesOfLast += count;
            sizeBytes += count;
        }
    }

    /** Adds a segment for the known bytes, or one that doubles the capacity if the size is not known. */
    private byte[] newSegment(long knownBytes, boolean sizeKnown) {
        long wanted = sizeKnown ? knownBytes : Math.max(knownBytes, Math.max(MIN_SEGMENT_BYTES, allocatedBytes));
        byte[] segment = new byte[(int) Math.min(MAX_SEGMENT_BYTES, wanted)];
        segments.add(segment);
        usedBytesOfLast = 0;
        allocatedBytes += segment.length;
        return segment;
    }

    /** Returns the number of bytes of the body. */
    public long sizeBytes() {
        return sizeBytes;
    }

    /** Returns the bytes of all segments, which include the unused rest of the last one. */
    public long allocatedBytes() {
        return allocatedBytes;
    }

    /** Returns the body without copying it, as a heap buffer that need not be released. */
    public ByteBuf toByteBuf() {
        if (segments.isEmpty()) {
            return Unpooled.EMPTY_BUFFER;
        }
        CompositeByteBuf whole =
                new CompositeByteBuf(UnpooledByteBufAllocator.DEFAULT, false, Math.max(2, segments.size()));
        for (int i = 0; i < segments.size(); i++) {
            byte[] segment = segments.get(i);
            int length = i == segments.size() - 1 ? usedBytesOfLast : segment.length;
            whole.addComponent(true, Unpooled.wrappedBuffer(segment, 0, length));
        }
        return whole;
    }
}
