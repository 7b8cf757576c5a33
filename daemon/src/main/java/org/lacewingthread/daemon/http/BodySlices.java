package org.lacewingthread.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpChunkedInput;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.stream.ChunkedInput;
import java.util.function.IntConsumer;

/**
 * A large body that is written in slices, each when the channel takes it. Otherwise the channel would copy the whole body
 * into a direct buffer at once. The channel needs a {@link io.netty.handler.stream.ChunkedWriteHandler}.
 */
public final class BodySlices implements ChunkedInput<ByteBuf> {
    /** Bodies up to this size are written as a whole. */
    public static final int MAX_WHOLE_BYTES = 65_536;

    private static final int SLICE_BYTES = 32_768;

    /** Copies of a body that wait in direct buffers: one slice above the mark at which the channel takes no more. */
    public static final long MAX_DIRECT_BYTES = 98_304;

    private final ByteBuf body;
    private final long lengthBytes;
    private final IntConsumer progress;
    private long progressBytes;

    /**
     * Creates slices of a body.
     *
     * @param body body, whose reader index moves
     * @param progress is told the size of each slice that the channel takes
     */
    private BodySlices(ByteBuf body, IntConsumer progress) {
        this.body = body;
        this.lengthBytes = body.readableBytes();
        this.progress = progress;
    }

    /**
     * Writes a message; the caller flushes.
     *
     * @param whole the message if the body is small
     * @param head the head, with the length of the body, if the body is large
     * @param progress is told the size of each slice that the channel takes
     * @return completes when the last byte was written
     */
    public static ChannelFuture write(Channel channel, FullHttpMessage whole, HttpMessage head, IntConsumer progress) {
        if (whole.content().readableBytes() <= MAX_WHOLE_BYTES) {
            return channel.write(whole);
        }
        channel.write(head);
        return channel.write(new HttpChunkedInput(new BodySlices(whole.content(), progress)));
    }

    @Override
    public boolean isEndOfInput() {
        return !body.isReadable();
    }

    @Override
    public void close() {
        // The body is a heap buffer without a pool.
    }

    /** Older form of {@link #readChunk(ByteBufAllocator)}, which the interface still demands. */
    @Deprecated
    @Override
    public ByteBuf readChunk(ChannelHandlerContext context) {
        return readChunk(context.alloc());
    }

    @Override
    public ByteBuf readChunk(ByteBufAllocator allocator) {
        int count = Math.min(SLICE_BYTES, body.readableBytes());
        progressBytes += count;
        progress.accept(count);
        return count == 0 ? null : body.readRetainedSlice(count);
    }

    @Override
    public long length() {
        return lengthBytes;
    }

    @Override
    public long progress() {
        return progressBytes;
    }
}
