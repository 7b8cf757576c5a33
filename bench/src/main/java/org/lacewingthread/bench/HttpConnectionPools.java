package org.lacewingthread.bench;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Connection pools to one address, one pool for each I/O thread. */
final class HttpConnectionPools implements AutoCloseable {
    private static final int MAX_IO_THREADS = 4;
    private static final int BUFFER_BYTES = 16 << 10;

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final List<HttpConnectionPool> pools = new ArrayList<>();

    HttpConnectionPools(URI target, int connections) throws IOException {
        int count = Math.min(MAX_IO_THREADS, connections);
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, count)
                        .set(Options.THREAD_DAEMON, true)
                        .set(Options.WORKER_NAME, "load")
                        .getMap());
        Map<XnioIoThread, HttpConnectionPool> byThread = new HashMap<>();
        for (int hash = 0; byThread.size() < count; hash++) {
            XnioIoThread thread = worker.getIoThread(hash);
            byThread.computeIfAbsent(thread, key -> new HttpConnectionPool(target, key, buffers, connections / count));
        }
        pools.addAll(byThread.values());
    }

    /** Sends a request through the pool with the given number modulo the number of pools. */
    void submit(int number, PlannedRequest request) {
        pools.get(number % pools.size()).submit(request);
    }

    @Override
    public void close() {
        worker.shutdownNow();
        buffers.close();
    }
}
