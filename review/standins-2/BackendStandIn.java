import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * A sound backend server: runs some requests at a time, queues a few more and says so when it is full, echoes the attempt's
 * id, seals its answers, and serves keys only while it holds them. It never ends a connection itself.
 */
class BackendStandIn {
    private static final int KEYS = 65_536;
    private static final int QUEUE = 8;
    private static final Pattern NUMBER = Pattern.compile("\"(from|to|fence|hold_ms)\"\\s*:\\s*([0-9]+)");

    final String id;
    final String service;
    final int slots;
    final long workMillis;
    final int responseBytes;
    private final ServerSocket listener;
    private final Semaphore free;
    private final AtomicInteger queued = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final RunRecord record;
    private final boolean keyed;
    private final long[] heldUntilNanos = new long[KEYS];
    private final long[] fences = new long[KEYS];
    private final int[] runningByKey = new int[KEYS];
    private final long bornUnixMillis = System.currentTimeMillis();
    volatile String state = "ready";

    BackendStandIn(String id, String service, int slots, long workMillis, int responseBytes, RunRecord record)
            throws IOException {
        this(id, service, slots, workMillis, responseBytes, record, false);
    }

    BackendStandIn(
            String id,
            String service,
            int slots,
            long workMillis,
            int responseBytes,
            RunRecord record,
            boolean keyed)
            throws IOException {
        this.keyed = keyed;
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.workMillis = workMillis;
        this.responseBytes = responseBytes;
        this.record = record;
        this.free = new Semaphore(slots, true);
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start("backend " + id, this::accept);
    }

    /** Writes the server's entry to the store, as it does at each check-in. */
    void register(StoreStandIn store, int seq) {
        store.put(
                "keyed.servers",
                id,
                "{\"addr\":\"127.0.0.1:" + listener.getLocalPort() + "\",\"born\":" + bornUnixMillis
                        + ",\"info\":{\"service\":\"" + service + "\",\"version\":\"v1\",\"zone\":\"maras\",\"slots\":"
                        + slots + "},\"status\":{\"state\":\"" + state + "\",\"seq\":" + seq + ",\"cold_left_ms\":0}}");
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Threads.start("backend connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            OutputStream out = socket.getOutputStream();
            while (true) {
                HttpMessage request = HttpMessage.read(in);
                if (request == null) {
                    return;
                }
                if (answersOddly(request, socket)) {
                    return;
                }
                out.write(answer(request, socket));
                out.flush();
            }
        } catch (IOException e) {
            record.note("backend " + id + ": a connection ended: " + e.getMessage());
        }
    }

    /** Sends bytes of another kind than an answer; returns whether it did, after which the connection ends. */
    boolean answersOddly(HttpMessage request, Socket socket) throws IOException {
        return false;
    }

    private byte[] answer(HttpMessage request, Socket socket) {
        String target = request.headers.get("lacewingthread-target-instance");
        if (target != null && !target.equals(id)) {
            return response(421, "Lacewingthread-Instance-Id: " + id + "\r\n", new byte[0]);
        }
        String path = request.target();
        if (path.equals("/grant")) {
            return response(onGrant(request, socket), "", new byte[0]);
        }
        if (path.equals("/release")) {
            release(request);
            return response(200, "Lacewingthread-Handover: " + id + "\r\n", new byte[0]);
        }
        if (path.equals("/health")) {
            return response(200, "Lacewingthread-Instance-Id: " + id + "\r\n", new byte[0]);
        }
        return run(request);
    }

    /** Returns the status with which the next run ends; a run that fails here has run all the same. */
    int statusOfRun() {
        return 200;
    }

    private byte[] run(HttpMessage request) {
        String attempt = request.headers.getOrDefault("lacewingthread-attempt-id", "");
        String echo = "Lacewingthread-Attempt-Id: " + attempt + "\r\n";
        if (!free.tryAcquire()) {
            if (queued.incrementAndGet() > QUEUE) {
                queued.decrementAndGet();
                return response(503, echo + "Lacewingthread-Not-Executed: 1\r\n" + load(), new byte[0]);
            }
            free.acquireUninterruptibly();
            queued.decrementAndGet();
        }
        int key = Integer.parseInt(request.headers.getOrDefault("lacewingthread-shard-key", "0"));
        if (keyed && !begin(key)) {
            free.release();
            return response(421, echo + "Lacewingthread-Not-Executed: 1\r\nLacewingthread-Instance-Id: " + id + "\r\n", new byte[0]);
        }
        running.incrementAndGet();
        try {
            record.ran(id, service, attempt, request.startLine, request.body.length);
            TimeUnit.MILLISECONDS.sleep(workMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            running.decrementAndGet();
            end(key);
            free.release();
        }
        String seal = "Lacewingthread-Server-Seal: " + id + "." + attempt + "\r\n";
        return response(statusOfRun(), echo + seal + load(), new byte[responseBytes]);
    }

    private String load() {
        return "Lacewingthread-Server-Load: " + running.get() + "," + queued.get() + "," + slots + "\r\n";
    }

    private static byte[] response(int status, String headers, byte[] body) {
        String head = "HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n" + headers + "\r\n";
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    private static Map<String, Long> numbers(HttpMessage request) {
        Map<String, Long> numbers = new TreeMap<>();
        Matcher matcher = NUMBER.matcher(new String(request.body, StandardCharsets.UTF_8));
        while (matcher.find()) {
            numbers.put(matcher.group(1), Long.parseLong(matcher.group(2)));
        }
        return numbers;
    }

    /** Returns whether the key is held, and counts a run on it then. */
    private synchronized boolean begin(int key) {
        if (heldUntilNanos[key] <= System.nanoTime()) {
            return false;
        }
        runningByKey[key]++;
        return true;
    }

    private synchronized void end(int key) {
        if (keyed) {
            runningByKey[key]--;
            notifyAll();
        }
    }

    /** Carries out a grant and returns the status of its answer. */
    int onGrant(HttpMessage request, Socket socket) {
        return grant(request, System.nanoTime());
    }

    /**
     * Carries out a grant unless a higher fence was seen on one of its keys. Fences stay known after a release.
     *
     * @param arrivedNanos when the call arrived, from which its time counts
     */
    final int grant(HttpMessage request, long arrivedNanos) {
        Map<String, Long> order = numbers(request);
        int from = order.get("from").intValue();
        int to = order.get("to").intValue();
        long untilNanos = arrivedNanos + order.get("hold_ms") * 1_000_000;
        synchronized (this) {
            for (int key = from; key <= to; key++) {
                if (fences[key] > order.get("fence")) {
                    return 409;
                }
            }
            for (int key = from; key <= to; key++) {
                fences[key] = order.get("fence");
                heldUntilNanos[key] = untilNanos;
            }
            if (untilNanos > System.nanoTime()) {
                record.took(id, from, to, order.get("fence"), untilNanos);
            }
        }
        return 200;
    }

    /** Stops new work on the keys at once, and returns when the work that runs on them has ended. */
    private synchronized void release(HttpMessage request) {
        Map<String, Long> order = numbers(request);
        int from = order.get("from").intValue();
        int to = order.get("to").intValue();
        for (int key = from; key <= to; key++) {
            heldUntilNanos[key] = 0;
            fences[key] = Math.max(fences[key], order.get("fence"));
        }
        record.note(id + " released keys " + from + " to " + to + ", fence " + order.get("fence"));
        while (IntStream.rangeClosed(from, to).anyMatch(key -> runningByKey[key] > 0)) {
            try {
                wait(20);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** An HTTP request with its whole body. */
    static final class HttpMessage {
        String startLine;
        final Map<String, String> headers = new TreeMap<>();
        byte[] body = new byte[0];

        String target() {
            return startLine.split(" ")[1];
        }

        /** Reads a message; returns null at the end of the connection. */
        static HttpMessage read(InputStream in) throws IOException {
            HttpMessage message = new HttpMessage();
            message.startLine = line(in);
            if (message.startLine == null) {
                return null;
            }
            for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                message.headers.put(
                        line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
            int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
            message.body = in.readNBytes(length);
            if (message.body.length < length) {
                throw new EOFException("the message ended after " + message.body.length + " of " + length + " bytes");
            }
            return message;
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    return null;
                }
                if (c != '\r') {
                    line.append((char) c);
                }
            }
            return line.toString();
        }
    }
}
