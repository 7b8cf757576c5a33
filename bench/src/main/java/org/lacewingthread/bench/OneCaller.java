package org.lacewingthread.bench;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/**
 * Sends ordinary requests of one caller, one after the other on one connection, and prints how many a second are answered
 * and how long they take.
 *
 * <pre>{@code
 * java -cp ... org.lacewingthread.bench.OneCaller 8144 5 15
 * }</pre>
 */
public final class OneCaller {
    private static final int BODY_BYTES = 1_024;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_REQUESTS = 1_000_000;
    private static final int OK_STATUS = 200;

    private final InputStream in;
    private final Socket socket;
    private int sent;

    private OneCaller(Socket socket) throws IOException {
        this.socket = socket;
        this.in = new BufferedInputStream(socket.getInputStream());
    }

    /**
     * Runs the measurement.
     *
     * @param args port of a router on the loopback interface, seconds of the warm-up, and seconds of the measurement
     */
    public static void main(String[] args) throws IOException {
        if (args.length != 3) {
            throw new IllegalArgumentException("expected a port, warm-up seconds and seconds, not "
                    + Arrays.toString(args) + "; for example 8144 5 15");
        }
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), Integer.parseInt(args[0]))) {
            socket.setTcpNoDelay(true);
            OneCaller caller = new OneCaller(socket);
            caller.run(Integer.parseInt(args[1]));
            System.out.println(report(caller.run(Integer.parseInt(args[2]))));
        }
    }

    /** Sends requests for a time and returns the nanoseconds of each. */
    private long[] run(int seconds) throws IOException {
        long[] nanos = new long[MAX_REQUESTS];
        int count = 0;
        long endNanos = System.nanoTime() + (long) (seconds * NANOS_PER_SECOND);
        while (count < nanos.length && System.nanoTime() < endNanos) {
            long startNanos = System.nanoTime();
            exchange();
            nanos[count++] = System.nanoTime() - startNanos;
        }
        return Arrays.copyOf(nanos, count);
    }

    /** Sends a request, every other one with a body, and reads its response. */
    private void exchange() throws IOException {
        sent++;
        int bodyBytes = sent % 2 == 0 ? BODY_BYTES : 0;
        String request = (bodyBytes == 0 ? "GET" : "POST") + " /o/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                + "Lacewingthread-Attempt-Id: one-" + System.nanoTime() + "\r\nLacewingthread-Shard-Key: 7\r\n"
                + "Content-Length: " + bodyBytes + "\r\n\r\n" + "x".repeat(bodyBytes);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the router closed the connection after " + head);
            }
            head.append((char) next);
        }
        String lines = head.toString().toLowerCase(Locale.ROOT);
        if (!lines.startsWith("http/1.1 " + OK_STATUS)) {
            throw new IOException("a request was not answered with " + OK_STATUS + ": " + head);
        }
        int at = lines.indexOf("content-length:") + "content-length:".length();
        in.readNBytes(
                Integer.parseInt(lines.substring(at, lines.indexOf('\r', at)).trim()));
    }

    private static String report(long[] nanos) {
        long totalNanos = Arrays.stream(nanos).sum();
        Arrays.sort(nanos);
        return String.format(
                Locale.ROOT,
                "%d requests, %.0f a second, median %.3f ms, 99th percentile %.3f ms",
                nanos.length,
                nanos.length * NANOS_PER_SECOND / totalNanos,
                nanos[nanos.length / 2] / NANOS_PER_MILLI,
                nanos[nanos.length * 99 / 100] / NANOS_PER_MILLI);
    }
}
