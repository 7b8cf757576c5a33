package org.lacewingthread.daemon.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Consumer;

/** The memory of the request and the response in progress on one connection to a server. */
final class ConnectionMemory implements ResponseMemory.Reader {
    /** Heap that a header line takes beside its text. */
    private static final long HEADER_LINE_BYTES = 160;

    private final ResponseMemory memory;
    private final String server;
    private final Consumer<String> giveUp;

    /**
     * Creates the memory of a connection.
     *
     * @param memory counts all connections
     * @param server address of the server
     * @param giveUp fails the request in progress, for the given reason
     */
    ConnectionMemory(ResponseMemory memory, String server, Consumer<String> giveUp) {
        this.memory = memory;
        this.server = server;
        this.giveUp = giveUp;
    }

    /** Counts the head of a response. */
    void addHead(HttpHeaders headers) {
        memory.add(this, headers.size() * HEADER_LINE_BYTES);
    }

    /** Counts a part of the body of a response. */
    void addBody(long bytes) {
        memory.add(this, bytes);
    }

    /** Forgets the response, which is complete or was given up. */
    void removeResponse() {
        memory.remove(this);
    }

    /** Counts a request that the server has not taken at once: its head and the direct buffers of its body. */
    void addUnsent(HttpHeaders headers, long bodyBytes) {
        memory.addUnsent(this, headers.size() * HEADER_LINE_BYTES + Math.min(BodySlices.MAX_DIRECT_BYTES, bodyBytes));
    }

    /** Records that the server took a part of the request. */
    void onTaken(int bytes) {
        memory.onUnsentProgress(this, bytes);
    }

    /** Forgets the request, which was taken or given up. */
    void removeUnsent() {
        memory.removeUnsent(this);
    }

    /** Forgets request and response. */
    void release() {
        removeResponse();
        removeUnsent();
    }

    @Override
    public void onMemoryExhausted() {
        giveUp.accept("the unfinished responses of all servers need too much memory, and this one has the most bytes");
    }

    @Override
    public void onUnsentExhausted() {
        giveUp.accept("the memory for requests is used up, and this server takes its request too slowly");
    }

    @Override
    public String server() {
        return server;
    }
}
