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

/** Connections to one address, spread over a few I/O threads. */
final class HttpLanes implements AutoCloseable {
    private static final int LANES = 4;
    private static final int BUFFER_BYTES = 16 << 10;

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final List<HttpLane> lanes = new ArrayList<>();

    HttpLanes(URI target, int connections) throws IOException {
        int count = Math.min(LANES, connections);
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, count)
                        .set(Options.THREAD_DAEMON, true)
                        .set(Options.WORKER_NAME, "load")
                        .getMap());
        Map<XnioIoThread, HttpLane> byThread = new HashMap<>();
        for (int hash = 0; byThread.size() < count; hash++) {
            XnioIoThread thread = worker.getIoThread(hash);
            byThread.computeIfAbsent(thread, key -> new HttpLane(target, key, buffers, connections / count));
        }
        lanes.addAll(byThread.values());
    }

    /** Sends a request on the lane that a number selects. */
    void submit(int number, PlannedRequest request) {
        lanes.get(number % lanes.size()).submit(request);
    }

    @Override
    public void close() {
        worker.shutdownNow();
        buffers.close();
    }
}
