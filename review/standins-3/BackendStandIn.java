import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A backend as PROTOCOL.md describes it: slots, a queue, keys that it was granted, and its load in each answer. */
class BackendStandIn implements AutoCloseable {
    private static final int USUAL_QUEUE = 8;
    /** Idle connections are closed after this time, which the Keep-Alive header states. */
    private static final int IDLE_SECONDS = 10;

    final String id;
    final String service;
    final boolean sharded;
    final int slots;
    final long workMillis;
    /** Requests that arrived, that were run, and that were answered as not run. */
    final AtomicInteger arrived = new AtomicInteger();

    final AtomicInteger ran = new AtomicInteger();
    final AtomicInteger rejected = new AtomicInteger();
    private final int queue;
    private final Recorder recorder;
    private final ServerSocket listener;
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final long[] heldUntilNanos = new long[65_536];
    private final long[] fences = new long[65_536];

    /** A request as it was read. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {}

    BackendStandIn(Recorder recorder, String id, String service, boolean sharded, int slots, long workMillis)
            throws IOException {
        this(recorder, id, service, sharded, slots, workMillis, USUAL_QUEUE);
    }

    /**
     * Creates a backend that is ready once it has its keys.
     *
     * @param slots requests that it runs at a time
     * @param queue further requests that wait there; more are rejected
     */
    BackendStandIn(
            Recorder recorder, String id, String service, boolean sharded, int slots, long workMillis, int queue)
            throws IOException {
        this.queue = queue;
        this.recorder = recorder;
        this.id = id;
        this.service = service;
        this.sharded = sharded;
        this.slots = slots;
        this.workMillis = workMillis;
        this.free = new Semaphore(slots, true);
        this.listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
        Recorder.daemon("accept-" + id, this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns the entry of the backend in the registry. */
    String entry(String state) {
        return "{\"addr\":\"" + address() + "\",\"info\":{\"service\":\"" + service
                + "\",\"version\":\"v1\",\"zone\":\"recife\",\"slots\":" + slots + "},\"status\":{\"state\":\"" + state
                + "\",\"seq\":1,\"cold_left_ms\":0}}";
    }

    private void accept() throws Exception {
        while (!listener.isClosed()) {
            Socket socket = listener.accept();
            Recorder.daemon("connection-" + id, () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        socket.setSoTimeout(IDLE_SECONDS * 1_000);
        socket.setTcpNoDelay(true);
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Request request = read(in); request != null; request = read(in)) {
                handle(request, socket.getOutputStream());
            }
        } catch (IOException e) {
            // The connection was reset or idle for too long; both end it.
            recorder.debug(id + " connection ended: " + e.getMessage());
        }
    }

    /** Reads a request with a length or without a body; null at the end of the connection. */
    static Request read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] first = line.split(" ");
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        return new Request(first[0], first[1], headers, in.readNBytes(length));
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            line.append((char) c);
        }
        return line.toString().replace("\r", "");
    }

    private void handle(Request request, OutputStream out) throws Exception {
        if (request.target().equals("/grant") || request.target().equals("/release")) {
            onOrder(request, out);
            return;
        }
        if (request.target().equals("/health")) {
            respond(out, 200, "", Map.of("Lacewingthread-Instance-Id", id), "");
            return;
        }
        String attempt = request.headers().get("Lacewingthread-Attempt-Id");
        arrived.incrementAndGet();
        boolean other = !id.equals(request.headers().getOrDefault("Lacewingthread-Target-Instance", id));
        if (other || !holds(request)) {
            reject(request, out, 421);
            return;
        }
        long deadline = Long.parseLong(request.headers().getOrDefault("Lacewingthread-Deadline-Ms", "60000"));
        if (waiting.get() >= queue) {
            reject(request, out, 503);
            return;
        }
        waiting.incrementAndGet();
        boolean begins = free.tryAcquire(deadline, TimeUnit.MILLISECONDS);
        waiting.decrementAndGet();
        if (!begins) {
            reject(request, out, 503);
            return;
        }
        try {
            if (!holds(request)) {
                reject(request, out, 421);
                return;
            }
            running.incrementAndGet();
            ran.incrementAndGet();
            onRun(request);
            Thread.sleep(workMillis);
        } finally {
            running.updateAndGet(count -> Math.max(0, count - 1));
            free.release();
        }
        answer(request, out);
    }

    /** Called when a request begins to run. */
    void onRun(Request request) {
        recorder.line(id + " runs " + request.headers().get("Lacewingthread-Attempt-Id"));
    }

    void answer(Request request, OutputStream out) throws IOException {
        String body = id + " " + request.target();
        respond(out, 200, request.headers().get("Lacewingthread-Attempt-Id"),
                Map.of("Lacewingthread-Server-Seal", "seal." + body.length()), body);
    }

    private void reject(Request request, OutputStream out, int status) throws IOException {
        rejected.incrementAndGet();
        respond(out, status, request.headers().get("Lacewingthread-Attempt-Id"),
                Map.of("Lacewingthread-Not-Executed", "1", "Lacewingthread-Instance-Id", id), "");
    }

    void respond(OutputStream out, int status, String attempt, Map<String, String> headers, String body)
            throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        if (!attempt.isEmpty()) {
            head.append("Lacewingthread-Attempt-Id: " + attempt + "\r\n");
        }
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Lacewingthread-Server-Load: " + running.get() + "," + waiting.get() + "," + slots + "\r\n");
        head.append("Keep-Alive: timeout=" + IDLE_SECONDS + "\r\n");
        head.append("Content-Length: " + body.length() + "\r\n\r\n").append(body);
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Returns whether the backend holds a key now. */
    synchronized boolean holds(int key) {
        return heldUntilNanos[key] - System.nanoTime() > 0;
    }

    /** Called when the backend accepts a grant. */
    void onGranted(int from, int to, long fence) {}

    private synchronized boolean holds(Request request) {
        if (!sharded) {
            return true;
        }
        int key = Integer.parseInt(request.headers().getOrDefault("Lacewingthread-Shard-Key", "-1"));
        return key >= 0 && holds(key);
    }

    private static long field(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*([0-9]+)").matcher(json);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    private void onOrder(Request request, OutputStream out) throws Exception {
        if (!id.equals(request.headers().getOrDefault("Lacewingthread-Target-Instance", id))) {
            respond(out, 421, "", Map.of("Lacewingthread-Instance-Id", id), "");
            return;
        }
        String json = new String(request.body(), StandardCharsets.UTF_8);
        boolean grant = request.target().equals("/grant");
        int from = (int) field(json, "from");
        int to = (int) field(json, "to");
        long fence = field(json, "fence");
        synchronized (this) {
            for (int key = from; grant && key <= to; key++) {
                if (fences[key] > fence) {
                    respond(out, 409, "", Map.of(), "");
                    return;
                }
            }
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(field(json, "hold_ms"));
            for (int key = from; key <= to; key++) {
                fences[key] = Math.max(fences[key], fence);
                heldUntilNanos[key] = grant ? until : System.nanoTime();
            }
        }
        if (grant) {
            onGranted(from, to, fence);
        }
        recorder.debug(id + " " + request.target() + " " + json);
        if (!grant) {
            while (running.get() > 0) {
                Thread.sleep(5);
            }
        }
        respond(out, 200, "", grant ? Map.of() : Map.of("Lacewingthread-Handover", "token-" + fence), "");
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
