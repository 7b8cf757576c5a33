import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment on loopback addresses: a store, backend servers and routers as deployed. */
final class Deployment implements AutoCloseable {
    private static final long CHECK_IN_MILLIS = 870;
    private static final long READY_MILLIS = 20_000;

    /** Exit codes of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    final StoreStandIn store = new StoreStandIn();
    final List<BackendStandIn> backends = new ArrayList<>();
    final List<RouterStandUp> routers = new ArrayList<>();
    final RunRecord record;
    private final Path folder = Files.createTempDirectory("review-case");

    Deployment(RunRecord record, String configuration) throws IOException {
        this.record = record;
        store.put("keyed.op", "config", configuration);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Returns whether the case runs with its disruption. */
    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    void add(BackendStandIn backend) {
        backends.add(backend);
        backend.register(store, 1);
    }

    /** Starts routers and waits until each is ready; returns false if one is not in time. */
    boolean start(int routerCount) throws IOException, InterruptedException {
        Threads.start("check-ins", () -> {
            for (int seq = 2; true; seq++) {
                Thread.sleep(CHECK_IN_MILLIS);
                for (BackendStandIn backend : List.copyOf(backends)) {
                    backend.register(store, seq);
                }
            }
        });
        for (int number = 1; number <= routerCount; number++) {
            routers.add(new RouterStandUp("vm-" + number, store.address(), folder));
        }
        for (RouterStandUp router : routers) {
            if (!awaitReady(router)) {
                record.note(router.vm + " was not ready in time; alive: " + router.isAlive());
                return false;
            }
        }
        return true;
    }

    private static boolean awaitReady(RouterStandUp router) throws InterruptedException {
        long until = System.nanoTime() + READY_MILLIS * 1_000_000;
        while (System.nanoTime() < until && router.isAlive()) {
            try (Call call = new Call(router.readinessPort, 1_000)) {
                call.send("GET /readiness HTTP/1.1\r\nHost: vm\r\n\r\n", new byte[0]);
                Call.Answer answer = call.read();
                if (answer != null && answer.status() == 200) {
                    return true;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Returns the lines of a router's log that contain a text. */
    static List<String> logLines(RouterStandUp router, String text) throws IOException {
        try (var lines = Files.lines(router.log, StandardCharsets.ISO_8859_1)) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    @Override
    public void close() {
        routers.forEach(RouterStandUp::close);
    }

    /** A caller's connection. */
    static final class Call implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;

        /** What came back. */
        record Answer(int status, BackendStandIn.HttpMessage message) {}

        Call(int port, int timeoutMillis) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String head, byte[] body) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
            bytes.writeBytes(body);
            socket.getOutputStream().write(bytes.toByteArray());
        }

        /** Reads an answer; returns null if the connection ends before one. */
        Answer read() throws IOException {
            BackendStandIn.HttpMessage message = BackendStandIn.HttpMessage.read(in);
            return message == null ? null : new Answer(Integer.parseInt(message.startLine.split(" ")[1]), message);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
