package org.lacewingthread.daemon.intake;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.function.LongSupplier;
import org.lacewingthread.daemon.http.BodySlices;

/** Writes the responses of one connection as its caller takes them. Confined to the connection's event loop. */
final class ResponseWriter {
    /** Time that a caller has to close its side of the connection after the last response. */
    private static final long LINGER_MILLIS = 1_000;

    /** A caller that takes longer for a response than this gets the idle timeout to take the rest of it. */
    private static final long SLOW_MILLIS = 100;

    private final LongSupplier clockMillis;
    private final Runnable onTaken;
    /** Responses of which a part was not written. */
    private int unwrittenResponses;
    /** Whether the caller took a response slowly, so that the network may still hold a part of it. */
    private boolean slowCaller;

    /**
     * Creates a writer.
     *
     * @param onTaken called when the caller took a part of a response
     */
    ResponseWriter(LongSupplier clockMillis, Runnable onTaken) {
        this.clockMillis = clockMillis;
        this.onTaken = onTaken;
    }

    /** Writes a response without flushing the connection. */
    void write(Channel channel, PendingResponse pending, Runnable whenWritten) {
        FullHttpResponse whole = pending.response;
        DefaultHttpResponse head = new DefaultHttpResponse(whole.protocolVersion(), whole.status(), whole.headers());
        unwrittenResponses++;
        long startedMillis = clockMillis.getAsLong();
        ChannelFuture written = BodySlices.write(channel, whole, head, bytes -> {
            onTaken.run();
            pending.onTaken(bytes);
        });
        written.addListener(future -> {
            unwrittenResponses--;
            slowCaller |= clockMillis.getAsLong() - startedMillis >= SLOW_MILLIS;
            pending.release();
            whenWritten.run();
        });
    }

    /** Returns whether a part of a response was not written yet. */
    boolean isWriting() {
        return unwrittenResponses > 0;
    }

    /** Closes the connection after {@link #LINGER_MILLIS} ms, or the idle timeout if the caller is slow. */
    void closeAfterLinger(Channel channel, long idleTimeoutMillis) {
        LingeringClose.close(channel, slowCaller ? idleTimeoutMillis : LINGER_MILLIS);
    }
}
