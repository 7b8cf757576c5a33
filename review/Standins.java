package standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/** What the stand-ins share: HTTP messages, free ports, times, and the record of a run. */
public final class Standins {
    private static final long STARTED_NANOS = System.nanoTime();
    private static StringBuilder record = new StringBuilder();

    private Standins() {}

    public static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    public static void run(Runnable task) {
        daemon(task).start();
    }

    public static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Milliseconds since the run began. */
    public static long now() {
        return (System.nanoTime() - STARTED_NANOS) / 1_000_000;
    }

    /** Adds a line to the record of the run. */
    public static void record(String text) {
        synchronized (Standins.class) {
            record.append(String.format("%8.3f %s%n", now() / 1000.0, text));
        }
    }

    public static void writeRecord(Path file) throws IOException {
        synchronized (Standins.class) {
            Files.writeString(file, record);
        }
    }

    /** Returns a port of an address that is free for TCP and UDP, below the ports of outgoing connections. */
    public static int freePort(String ip) throws IOException {
        IOException last = null;
        for (int i = 0; i < 200; i++) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getByName(ip));
                    DatagramSocket udp = new DatagramSocket(port, InetAddress.getByName(ip))) {
                return port;
            } catch (IOException e) {
                last = e;
            }
        }
        throw last;
    }

    /** An HTTP message: its first line, headers by lower-case name, and its whole body. */
    public record Message(String firstLine, Map<String, String> headers, byte[] body) {
        public String header(String name) {
            return headers.get(name.toLowerCase());
        }

        public int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        public String path() {
            return firstLine.split(" ")[1];
        }
    }

    /** Reads a message that has a length or is chunked; null at the end of the connection. */
    public static Message read(InputStream in) throws IOException {
        return read(in, true);
    }

    /** Reads a message; without {@code keepBody}, its body is read and dropped. */
    public static Message read(InputStream in, boolean keepBody) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); ; line = line(in)) {
            if (line == null) {
                throw new EOFException("the head is not complete");
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            for (int size = Integer.parseInt(line(in), 16); ; size = Integer.parseInt(line(in), 16)) {
                if (size == 0) {
                    line(in);
                    break;
                }
                readBody(in, size, keepBody ? body : null);
                line(in);
            }
        } else {
            readBody(in, Integer.parseInt(headers.getOrDefault("content-length", "0")), keepBody ? body : null);
        }
        return new Message(first, headers, body.toByteArray());
    }

    private static void readBody(InputStream in, int size, ByteArrayOutputStream body) throws IOException {
        byte[] buffer = new byte[65_536];
        for (int left = size; left > 0; ) {
            int count = in.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) {
                throw new EOFException("the body is not complete");
            }
            if (body != null) {
                body.write(buffer, 0, count);
            }
            left -= count;
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("a line is not complete");
            }
            if (next != '\r') {
                bytes.write(next);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    public static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 65_536);
    }
}
