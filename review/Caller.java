package standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

/** A client's connection to a router. */
public final class Caller implements AutoCloseable {
    public final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    public Caller(InetSocketAddress router) throws IOException {
        socket.connect(router, 1_000);
        socket.setTcpNoDelay(true);
        in = Standins.buffered(socket.getInputStream());
        out = socket.getOutputStream();
    }

    public static String newId() {
        return Long.toHexString(ThreadLocalRandom.current().nextLong() | Long.MIN_VALUE);
    }

    /** Returns a request's head up to the line that ends it, which states the body's length if there is one. */
    public static byte[] head(String method, String path, String id, long deadlineMillis, String more, long bodyBytes) {
        return (method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nLacewingthread-Attempt-Id: " + id
                        + "\r\nLacewingthread-Deadline-Ms: " + deadlineMillis + "\r\n" + more
                        + (bodyBytes > 0 ? "Content-Length: " + bodyBytes + "\r\n" : "") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    public void write(byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }

    /** Waits for the next answer; null if the connection ends before one begins. */
    public Standins.Message read(long waitMillis) throws IOException {
        socket.setSoTimeout((int) waitMillis);
        return Standins.read(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
