package org.lacewingthread.daemon.intake;

import io.netty.handler.codec.http.FullHttpResponse;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.lacewingthread.core.memory.EvictionReason;
import org.lacewingthread.core.memory.MemoryAccount;
import org.lacewingthread.core.memory.MemoryHolder;
import org.lacewingthread.core.memory.MemoryHolding;
import org.lacewingthread.core.memory.MemoryUse;
import org.lacewingthread.daemon.http.BodySlices;

/** The memory that is counted for a response until its caller has taken it. */
final class UntakenResponse implements MemoryHolder {
    /** Heap that a response takes beside headers and body. */
    private static final long RESPONSE_BYTES = 1_024;
    /** Heap of a header line, with its text. */
    private static final long HEADER_LINE_BYTES = 256;

    private final MemoryAccount account;
    private final LongSupplier clockMillis;
    private final String caller;
    private MemoryHolding memory;
    private final BiConsumer<Long, EvictionReason> whenGivenUp;
    private long heldBytes;
    private boolean givenUp;

    UntakenResponse(
            MemoryAccount account,
            LongSupplier clockMillis,
            String caller,
            BiConsumer<Long, EvictionReason> whenGivenUp) {
        this.account = account;
        this.clockMillis = clockMillis;
        this.caller = caller;
        this.whenGivenUp = whenGivenUp;
    }

    /** Counts the response; returns false if it was given up at once. */
    boolean hold(FullHttpResponse response) {
        long bodyBytes = response.content().readableBytes();
        heldBytes = RESPONSE_BYTES
                + response.headers().size() * HEADER_LINE_BYTES
                + bodyBytes
                + Math.min(BodySlices.MAX_DIRECT_BYTES, bodyBytes);
        memory = account.open(caller, MemoryUse.UNTAKEN_RESPONSE, this, clockMillis.getAsLong());
        account.add(memory, heldBytes, clockMillis.getAsLong());
        return !givenUp;
    }

    /** Records that the caller took a part. */
    void onTaken(int bytes) {
        account.onProgress(memory, bytes, clockMillis.getAsLong());
    }

    /** Frees the memory that is counted; further calls have no effect. */
    void release() {
        if (memory != null) {
            account.release(memory, clockMillis.getAsLong());
        }
    }

    @Override
    public void onPaused() {
        throw new IllegalStateException("a response was paused, but only requests can be");
    }

    @Override
    public void onResumed() {
        throw new IllegalStateException("a response was resumed, but only requests can be");
    }

    @Override
    public void onEvicted(EvictionReason reason) {
        givenUp = true;
        whenGivenUp.accept(heldBytes, reason);
    }
}
