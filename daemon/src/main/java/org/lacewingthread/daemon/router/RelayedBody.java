package org.lacewingthread.daemon.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.function.LongSupplier;
import org.lacewingthread.core.memory.EvictionReason;
import org.lacewingthread.core.memory.MemoryAccount;
import org.lacewingthread.core.memory.MemoryHolder;
import org.lacewingthread.core.memory.MemoryHolding;
import org.lacewingthread.core.memory.MemoryUse;
import org.lacewingthread.daemon.http.SegmentedBody;

/** The body of a response that another entry VM passes on, with the memory that is counted for it. */
final class RelayedBody implements MemoryHolder {
    private final MemoryAccount account;
    private final LongSupplier clockMillis;
    private final Runnable whenGivenUp;
    private final SegmentedBody body = new SegmentedBody();
    /** Null while there are no bytes. */
    private MemoryHolding memory;

    RelayedBody(MemoryAccount account, LongSupplier clockMillis, Runnable whenGivenUp) {
        this.account = account;
        this.clockMillis = clockMillis;
        this.whenGivenUp = whenGivenUp;
    }

    /** Takes a part, which counts for the given server; the body may be given up at once. */
    void add(byte[] chunk, String server) {
        long nowMillis = clockMillis.getAsLong();
        if (memory == null) {
            memory = account.open(server, MemoryUse.INCOMPLETE_RESPONSE, this, nowMillis);
        }
        long allocatedBytes = body.allocatedBytes();
        body.append(Unpooled.wrappedBuffer(chunk), 0);
        account.add(memory, body.allocatedBytes() - allocatedBytes, nowMillis);
    }

    /** Returns the body. */
    ByteBuf whole() {
        return body.toByteBuf();
    }

    /** Frees the memory that is counted; further calls have no effect. */
    void release() {
        if (memory != null) {
            account.release(memory, clockMillis.getAsLong());
        }
    }

    @Override
    public void onPaused() {
        throw new IllegalStateException("a relayed response was paused, but only requests can be");
    }

    @Override
    public void onResumed() {
        throw new IllegalStateException("a relayed response was resumed, but only requests can be");
    }

    @Override
    public void onEvicted(EvictionReason reason) {
        whenGivenUp.run();
    }
}
