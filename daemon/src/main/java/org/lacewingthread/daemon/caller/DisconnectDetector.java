package org.lacewingthread.daemon.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller closes its connection while its request is being processed. The HTTP library does
 * not read from the connection during that time. Confined to the exchange's I/O thread.
 */
final class DisconnectDetector implements ReadReadyHandler {
    private final HttpServerConnection connection;
    private final StreamSourceConduit source;
    private final Runnable onDisconnected;
    private boolean stopped;

    private DisconnectDetector(HttpServerConnection connection, Runnable onDisconnected) {
        this.connection = connection;
        this.source = connection.getOriginalSourceConduit();
        this.onDisconnected = onDisconnected;
    }

    /**
     * Starts detection after the whole request was read, with a look at what has arrived behind it. Returns the action that
     * stops detection, which must run before the exchange ends.
     */
    static Runnable start(HttpServerExchange exchange, Runnable onDisconnected) {
        boolean supported = exchange.getConnection() instanceof HttpServerConnection connection
                && connection.getExtraBytes() == null;
        if (!supported) {
            return () -> {};
        }
        DisconnectDetector detector =
                new DisconnectDetector((HttpServerConnection) exchange.getConnection(), onDisconnected);
        detector.source.setReadReadyHandler(detector);
        detector.source.resumeReads();
        detector.readReady();
        return detector::stop;
    }

    private void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        source.suspendReads();
        source.setReadReadyHandler(new ReadReadyHandler.ChannelListenerHandler<>(
                connection.getChannel().getSourceChannel()));
    }

    @Override
    public void readReady() {
        if (stopped) {
            return;
        }
        PooledByteBuffer buffer = connection.getByteBufferPool().allocate();
        int count = read(buffer);
        if (count <= 0) {
            buffer.close();
        }
        if (count < 0) {
            stop();
            onDisconnected.run();
        } else if (count > 0) {
            // The caller has already sent its next request. It is read once this one is complete.
            buffer.getBuffer().flip();
            connection.ungetRequestBytes(buffer);
            stop();
        }
    }

    private int read(PooledByteBuffer buffer) {
        try {
            return source.read(buffer.getBuffer());
        } catch (IOException e) {
            return -1;
        }
    }

    @Override
    public void forceTermination() {
        terminated();
    }

    @Override
    public void terminated() {
        if (!stopped) {
            stop();
            onDisconnected.run();
        }
    }
}
