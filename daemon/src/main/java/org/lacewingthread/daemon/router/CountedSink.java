package org.lacewingthread.daemon.router;

import java.util.List;
import java.util.function.IntConsumer;
import java.util.function.LongSupplier;
import org.lacewingthread.core.memory.EvictionReason;
import org.lacewingthread.core.memory.MemoryAccount;
import org.lacewingthread.core.memory.MemoryHolder;
import org.lacewingthread.core.memory.MemoryHolding;
import org.lacewingthread.core.memory.MemoryUse;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.ResponseSink;

/**
 * Counts the body of a response from when it is handed to the connection to another entry VM until that has taken it. Runs
 * on the traffic thread.
 */
final class CountedSink implements ResponseSink {
    private final ResponseSink sink;
    private final MemoryAccount account;
    private final LongSupplier clockMillis;
    private final IntConsumer unwrittenResponses;
    private String server = "relayed";
    /** Null while there are no bytes. */
    private MemoryHolding memory;

    /**
     * Creates a sink for one response.
     *
     * @param unwrittenResponses receives 1 when a server's response is there, and -1 when the connection has taken it
     */
    CountedSink(ResponseSink sink, MemoryAccount account, LongSupplier clockMillis, IntConsumer unwrittenResponses) {
        this.sink = sink;
        this.account = account;
        this.clockMillis = clockMillis;
        this.unwrittenResponses = unwrittenResponses;
    }

    @Override
    public boolean isAbandoned() {
        return sink.isAbandoned();
    }

    @Override
    public void onHead(ResponseStatus status, List<HeaderField> headers) {
        RelayAttempt.serverIn(headers)
                .ifPresent(start -> server = start.server().value());
        unwrittenResponses.accept(1);
        sink.onHead(status, headers);
    }

    @Override
    public void onBody(byte[] chunk, Runnable consumed) {
        long nowMillis = clockMillis.getAsLong();
        if (memory == null) {
            memory = account.open(server, MemoryUse.RELAYED_RESPONSE, new NeverAsked(), nowMillis);
        }
        account.add(memory, chunk.length, nowMillis);
        sink.onBody(chunk, consumed);
    }

    @Override
    public void onEnd() {
        sink.onEnd(() -> {
            release();
            unwrittenResponses.accept(-1);
        });
    }

    @Override
    public void onFailure(Failure failure) {
        release();
        sink.onFailure(failure);
    }

    private void release() {
        if (memory != null) {
            account.release(memory, clockMillis.getAsLong());
        }
    }

    /** The response is complete, so that nothing is decided about it. */
    private static final class NeverAsked implements MemoryHolder {
        @Override
        public void onPaused() {
            throw new IllegalStateException("a relayed response was paused, but it is complete");
        }

        @Override
        public void onResumed() {
            throw new IllegalStateException("a relayed response was resumed, but it is complete");
        }

        @Override
        public void onEvicted(EvictionReason reason) {
            throw new IllegalStateException("a relayed response was given up, but it is complete");
        }
    }
}
