package org.lacewingthread.daemon.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;

/**
 * Receives datagrams of any size into one buffer that is reused once its datagram was handled, so that no buffer of the
 * largest size is allocated for each datagram. Serves one channel.
 */
final class ReusedReceiveBuffer extends DefaultMaxMessagesRecvByteBufAllocator {
    private final ByteBuf buffer;
    private final int sizeBytes;

    ReusedReceiveBuffer(int sizeBytes) {
        super(1);
        this.sizeBytes = sizeBytes;
        this.buffer = Unpooled.buffer(sizeBytes, sizeBytes);
    }

    @Override
    public MaxMessageHandle newHandle() {
        return new MaxMessageHandle() {
            @Override
            public int guess() {
                return sizeBytes;
            }

            @Override
            public ByteBuf allocate(ByteBufAllocator allocator) {
                boolean inUse = buffer.refCnt() > 1;
                return inUse
                        ? allocator.heapBuffer(sizeBytes, sizeBytes)
                        : buffer.clear().retain();
            }
        };
    }
}
