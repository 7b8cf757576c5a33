package standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A backend: registers itself, takes grants and releases, and runs requests in a few slots. */
public class Backend {
    public static final int HEARTBEAT_MILLIS = 870;

    public final String id;
    public final String service;
    public final String zone;
    public final int slots;
    public final boolean sharded;
    /** Ids of requests that began to run, with the time. */
    public final Map<String, Long> ran = new ConcurrentHashMap<>();
    /** Ids of requests that began to run more than once. */
    public final List<String> ranTwice = new CopyOnWriteArrayList<>();
    /** Times at which requests arrived, and from which peer. */
    public final List<Arrival> arrivals = new CopyOnWriteArrayList<>();

    public volatile long workMillis = 100;
    public volatile int queue = 8;
    /** Further header lines of all answers, each with its line end. */
    public volatile String extraHeaders = "";
    /** Whether the backend reaches the store. */
    public volatile boolean reachesStore = true;
    public volatile String state = "ready";
    public final long bornMillis = System.currentTimeMillis();

    private final Store store;
    private final ServerSocket listener;
    private final Semaphore running;
    private final AtomicInteger waiting = new AtomicInteger();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final List<Hold> holds = new ArrayList<>();
    /** Keys of the requests that run now. */
    private final List<Integer> keysAtWork = new ArrayList<>();

    /** Highest fence that was seen on each key, kept also after a release. */
    private final long[] seenFences = new long[65_536];

    private volatile boolean stopped;
    private long storedMillis = Long.MIN_VALUE / 2;
    private String stored = "";

    /** A request that arrived. */
    public record Arrival(long atMillis, String id, String peer) {}

    /** A grant that took effect. */
    public record Take(long atMillis, String backend, int from, int to, long fence) {}

    /** All grants that took effect at all backends, in their order. */
    public static final List<Take> TAKES = new ArrayList<>();

    private record Hold(int from, int to, long fence, long untilNanos) {}

    public Backend(String id, String service, String zone, int slots, boolean sharded, Store store)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.sharded = sharded;
        this.store = store;
        this.running = new Semaphore(slots, true);
        this.listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(
                InetAddress.getByName("127.0.0.1"), Standins.freePort("127.0.0.1")), 100);
        Standins.run(this::accept);
        Standins.run(this::checkIn);
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private String entry() {
        return "{\"addr\":\"" + address() + "\",\"born\":" + bornMillis + ",\"info\":{\"service\":\"" + service
                + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":" + slots
                + "},\"status\":{\"state\":\"" + state + "\",\"seq\":1,\"cold_left_ms\":0}}";
    }

    /** Writes the entry when it changes; the store drops it after three check-in intervals of silence. */
    private void checkIn() {
        while (!stopped || !stored.isEmpty()) {
            if (reachesStore && !stopped) {
                storedMillis = Standins.now();
                String newest = entry();
                if (!newest.equals(stored)) {
                    stored = newest;
                    store.put("keyed.servers", id, newest);
                    Standins.record("entry of " + id + " is in the store, " + state);
                }
            } else if (!stored.isEmpty() && Standins.now() - storedMillis > 3 * HEARTBEAT_MILLIS) {
                stored = "";
                store.put("keyed.servers", id, "");
                Standins.record("entry of " + id + " has expired in the store");
            }
            for (int i = 0; i < 10; i++) {
                Standins.sleep(HEARTBEAT_MILLIS / 10);
            }
        }
    }

    private void accept() {
        while (!stopped) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Standins.run(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            PushbackInputStream in = new PushbackInputStream(Standins.buffered(socket.getInputStream()));
            OutputStream out = socket.getOutputStream();
            while (!stopped) {
                Standins.Message request = Standins.read(in);
                if (request == null) {
                    return;
                }
                handle(request, socket, in, out);
            }
        } catch (IOException e) {
            return;
        } finally {
            sockets.remove(socket);
        }
    }

    /** Answers one request; a subclass may answer otherwise. */
    protected void handle(Standins.Message request, Socket socket, PushbackInputStream in, OutputStream out)
            throws IOException {
        String expected = request.header("Lacewingthread-Target-Instance");
        if (expected != null && !expected.equals(id)) {
            answer(out, request, 421, "Lacewingthread-Instance-Id: " + id + "\r\nLacewingthread-Not-Executed: 1\r\n", "");
            return;
        }
        switch (request.path()) {
            case "/grant" -> grant(request, out);
            case "/release" -> release(request, out);
            case "/health" -> answer(out, request, 200, "Lacewingthread-Instance-Id: " + id + "\r\n", "");
            default -> run(request, socket, in, out);
        }
    }

    private void run(Standins.Message request, Socket socket, PushbackInputStream in, OutputStream out)
            throws IOException {
        String requestId = request.header("Lacewingthread-Attempt-Id");
        arrivals.add(new Arrival(
                Standins.now(), requestId, socket.getRemoteSocketAddress().toString()));
        String deadline = request.header("Lacewingthread-Deadline-Ms");
        long leftMillis = deadline == null ? 60_000 : Long.parseLong(deadline);
        if (sharded && !holds(request)) {
            answer(out, request, 421, "Lacewingthread-Not-Executed: 1\r\n", "");
            return;
        }
        if (waiting.incrementAndGet() > slots + queue) {
            waiting.decrementAndGet();
            answer(out, request, 503, "Lacewingthread-Not-Executed: 1\r\n", "");
            return;
        }
        boolean runs = false;
        boolean keyedWork = false;
        long heldUntilNanos = 0;
        try {
            runs = running.tryAcquire(leftMillis, TimeUnit.MILLISECONDS);
            if (!runs) {
                answer(out, request, 503, "Lacewingthread-Not-Executed: 1\r\n", "");
                return;
            }
            if (sharded && !beginKeyedWork(request)) {
                answer(out, request, 421, "Lacewingthread-Not-Executed: 1\r\n", "");
                return;
            }
            keyedWork = sharded;
            heldUntilNanos = heldUntilNanos(request);
            if (ran.putIfAbsent(requestId, Standins.now()) != null) {
                ranTwice.add(requestId);
            }
            if (!work(socket, in)) {
                return;
            }
            boolean outlasted = sharded && System.nanoTime() > Math.max(heldUntilNanos, heldUntilNanos(request));
            answer(out, request, outlasted ? 500 : 200, seal(), outlasted ? "" : "done " + requestId);
        } catch (InterruptedException e) {
            throw new IOException(e);
        } finally {
            waiting.decrementAndGet();
            if (keyedWork) {
                endKeyedWork(request);
            }
            if (runs) {
                running.release();
            }
        }
    }

    private static long field(Standins.Message request, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*([0-9]+)")
                .matcher(new String(request.body(), StandardCharsets.UTF_8));
        return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
    }

    private void grant(Standins.Message request, OutputStream out) throws IOException {
        boolean granted = applyGrant(request, System.nanoTime());
        answer(out, request, granted ? 200 : 409, "", "");
    }

    /**
     * Takes the keys of a grant unless a higher fence was seen on one of them.
     *
     * @param arrivedNanos when the call arrived, from which its time counts
     */
    protected boolean applyGrant(Standins.Message request, long arrivedNanos) {
        int from = (int) field(request, "from");
        int to = (int) field(request, "to");
        long fence = field(request, "fence");
        if (System.nanoTime() - arrivedNanos >= field(request, "hold_ms") * 1_000_000) {
            return false;
        }
        synchronized (holds) {
            for (int key = from; key <= to; key++) {
                if (seenFences[key] > fence) {
                    return false;
                }
            }
            Arrays.fill(seenFences, from, to + 1, fence);
            cut(from, to);
            holds.add(new Hold(from, to, fence, arrivedNanos + field(request, "hold_ms") * 1_000_000));
        }
        synchronized (TAKES) {
            TAKES.add(new Take(Standins.now(), id, from, to, fence));
        }
        return true;
    }

    /** Takes keys out of all holds. */
    private void cut(int from, int to) {
        for (Hold hold : List.copyOf(holds)) {
            if (hold.from() <= to && hold.to() >= from) {
                holds.remove(hold);
                if (hold.from() < from) {
                    holds.add(new Hold(hold.from(), from - 1, hold.fence(), hold.untilNanos()));
                }
                if (hold.to() > to) {
                    holds.add(new Hold(to + 1, hold.to(), hold.fence(), hold.untilNanos()));
                }
            }
        }
    }

    private void release(Standins.Message request, OutputStream out) throws IOException {
        int from = (int) field(request, "from");
        int to = (int) field(request, "to");
        synchronized (holds) {
            long fence = field(request, "fence");
            for (int key = from; key <= to; key++) {
                seenFences[key] = Math.max(seenFences[key], fence);
            }
            cut(from, to);
            // The answer comes when the work that was running on these keys has ended.
            while (keysAtWork.stream().anyMatch(key -> from <= key && key <= to)) {
                try {
                    holds.wait();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        }
        answer(out, request, 200, "Lacewingthread-Handover: 5c0e7a21d94b36f8\r\n", "");
    }

    /** Returns the ranges of keys that the backend holds now. */
    public List<int[]> held() {
        synchronized (holds) {
            return holds.stream()
                    .filter(hold -> System.nanoTime() < hold.untilNanos())
                    .map(hold -> new int[] {hold.from(), hold.to()})
                    .toList();
        }
    }

    /** Writes the entry again, as after the store lost it. */
    public void registerAgain() {
        store.put("keyed.servers", id, entry());
    }

    private static int keyOf(Standins.Message request) {
        String text = request.header("Lacewingthread-Shard-Key");
        return text == null ? -1 : Integer.parseInt(text);
    }

    private boolean beginKeyedWork(Standins.Message request) {
        synchronized (holds) {
            return holds(request) && keysAtWork.add(keyOf(request));
        }
    }

    private void endKeyedWork(Standins.Message request) {
        synchronized (holds) {
            keysAtWork.remove((Integer) keyOf(request));
            holds.notifyAll();
        }
    }

    /** Returns when the hold of the request's key ends; far in the past if there is none. */
    private long heldUntilNanos(Standins.Message request) {
        int key = keyOf(request);
        synchronized (holds) {
            return holds.stream()
                    .filter(hold -> hold.from() <= key && key <= hold.to())
                    .mapToLong(Hold::untilNanos)
                    .max()
                    .orElse(Long.MIN_VALUE);
        }
    }

    private boolean holds(Standins.Message request) {
        String text = request.header("Lacewingthread-Shard-Key");
        int key = text == null ? -1 : Integer.parseInt(text);
        synchronized (holds) {
            return holds.stream()
                    .anyMatch(hold ->
                            hold.from() <= key && hold.to() >= key && System.nanoTime() < hold.untilNanos());
        }
    }

    /** Works on a request; returns false if the caller closed the connection, which ends the work. */
    private boolean work(Socket socket, PushbackInputStream in) throws IOException {
        long millis = workMillis;
        if (millis <= 0) {
            return true;
        }
        socket.setSoTimeout((int) millis);
        try {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            in.unread(next);
            return true;
        } catch (SocketTimeoutException e) {
            return true;
        } finally {
            socket.setSoTimeout(0);
        }
    }

    public String seal() {
        return "Lacewingthread-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nLacewingthread-Server-Load: "
                + (slots - running.availablePermits()) + "," + Math.max(0, waiting.get() - slots) + "," + slots
                + "\r\n";
    }

    public void answer(OutputStream out, Standins.Message request, int status, String headers, String body)
            throws IOException {
        String requestId = request.header("Lacewingthread-Attempt-Id");
        out.write(("HTTP/1.1 " + status + " Status\r\n"
                        + (requestId == null ? "" : "Lacewingthread-Attempt-Id: " + requestId + "\r\n") + headers
                        + extraHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Ends the backend at once, as a crash does. */
    public void crash() throws IOException {
        stopped = true;
        listener.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
