import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers pipeline requests of legal size and leave before their deadline. After the last of them has left, ordinary requests
 * are judged.
 */
final class LeavingCrowdCase {
    private static final int CROWD = 2;
    private static final int SMALL_REQUESTS = 125;
    private static final int ODD_REQUESTS = 4;
    private static final int ODD_HEADER_LINES = 880;
    private static final long STAY_MILLIS = 180;
    private static final long CROWD_MILLIS = 45_000;
    private static final long SETTLE_MILLIS = 8_000;
    private static final long MEASURED_MILLIS = 12_000;
    private static final int UPLOAD_BYTES = 1_000_000;
    /** A kind of request starves if it is served less than a quarter as often as all requests. */
    private static final double STARVED_SHARE = 0.25;
    private static final String CONFIGURATION = "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"host\","
            + "\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"service\",\"max_attempts\"],"
            + "\"rows\":[[\"archive-fetch\",\"clerk.example\",\"/archive/\",\"safe\",4000,1200,2,\"licensing\",2],"
            + "[\"audio-upload\",\"clerk.example\",\"/upload/\",\"upload\",4000,1600,2,\"licensing\",2]]},"
            + "\"services\":{\"columns\":[\"name\",\"health_path\",\"max_conns\",\"protocol\",\"tls\",\"sharded\","
            + "\"warm_s\",\"grants\"],\"rows\":[[\"licensing\",\"/health\",46,\"h1\",false,null,null,null]]},"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000}}";

    private final Recorder record;
    private final boolean trouble;
    private final AtomicInteger nextId = new AtomicInteger();
    private final AtomicInteger crowdRan = new AtomicInteger();
    private final AtomicInteger left = new AtomicInteger();
    private final Tally fetches = new Tally();
    private final Tally uploads = new Tally();
    private volatile boolean crowded;
    /** Whether there are no other callers, as at night. */
    private volatile boolean quiet;
    private volatile boolean measuring;
    private volatile boolean stopped;

    /** Requests of one kind that were sent while the state afterwards is measured, and how many of them were served. */
    private static final class Tally {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();

        double share() {
            return sent.get() == 0 ? 0 : (double) served.get() / sent.get();
        }

        @Override
        public String toString() {
            return served + " of " + sent;
        }
    }

    private LeavingCrowdCase(Recorder record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        int status;
        try (Recorder record = new Recorder(Path.of(arguments[0], "record.txt"))) {
            status = new LeavingCrowdCase(record, !"0".equals(System.getenv("TROUBLE")))
                    .run(Path.of("").toAbsolutePath(), Path.of(arguments[1]));
        }
        Runtime.getRuntime().halt(status);
    }

    private int run(Path repository, Path folder) throws Exception {
        List<BackendStandIn> backends = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            backends.add(new BackendStandIn(record, "i-licensing-" + i, "licensing", false, 2, 480) {
                @Override
                void onRun(Request request) {
                    // Requests of the crowd are counted only, to keep the record short.
                    if (request.target().startsWith("/archive/a") || request.target().startsWith("/upload/a")) {
                        record.line(id + " runs " + request.method() + " " + request.target());
                    } else {
                        crowdRan.incrementAndGet();
                    }
                }
            });
        }
        try (StoreStandIn store = new StoreStandIn()) {
            store.put("keyed.op", "config", CONFIGURATION);
            backends.forEach(backend -> store.put("keyed.servers", backend.id, backend.entry("ready")));
            try (RouterUnderTest router = new RouterUnderTest(repository, folder, "front-1", store.address())) {
                if (!router.awaitReady(20_000)) {
                    record.result("the router did not become ready");
                    return 2;
                }
                return play(router);
            }
        }
    }

    private int play(RouterUnderTest router) throws Exception {
        for (int i = 0; i < 3; i++) {
            Recorder.daemon("fetches", () -> ask(router.callerPort, "GET", "/archive/", "", fetches));
        }
        Recorder.daemon("uploads", () -> ask(router.callerPort, "POST", "/upload/", "u".repeat(UPLOAD_BYTES), uploads));
        Thread.sleep(2_000);
        quiet = true;
        crowded = trouble;
        for (int i = 0; trouble && i < CROWD; i++) {
            Recorder.daemon("crowd", () -> leaveEarly(router.callerPort));
        }
        Thread.sleep(CROWD_MILLIS);
        crowded = false;
        record.result("the crowd has left; " + left + " connections were closed early, with "
                + left.get() * (SMALL_REQUESTS + ODD_REQUESTS) + " requests, of which " + crowdRan + " ran");
        Thread.sleep(SETTLE_MILLIS);
        quiet = false;
        measuring = true;
        Thread.sleep(MEASURED_MILLIS);
        measuring = false;
        Thread.sleep(4_000);
        stopped = true;
        double all = (double) (fetches.served.get() + uploads.served.get()) / (fetches.sent.get() + uploads.sent.get());
        record.result("afterwards served: archive-fetch " + fetches + ", audio-upload " + uploads + "; the router is alive "
                + router.isAlive() + ", says that it is ready " + router.isReady());
        boolean broken = uploads.share() < all * STARVED_SHARE || fetches.share() < all * STARVED_SHARE;
        record.result(broken ? "broken: a kind of request starves" : "held");
        return all == 0 ? 2 : broken ? 1 : 0;
    }

    /** Sends one request after the other and comes back after a refusal. */
    private void ask(int port, String method, String path, String body, Tally tally) throws Exception {
        while (!stopped) {
            if (quiet) {
                Thread.sleep(100);
                continue;
            }
            String id = "a" + nextId.incrementAndGet();
            boolean counted = measuring;
            int status = 0;
            try (CallerStandIn caller = new CallerStandIn(port)) {
                caller.send(CallerStandIn.request(method, path + id, id, 8_000, -1, body));
                status = caller.receive(5_000).status();
            } catch (IOException e) {
                record.line(id + " got no answer: " + e.getMessage());
            }
            record.line(method + " " + path + id + " -> " + status);
            if (counted) {
                tally.sent.incrementAndGet();
                tally.served.addAndGet(status == 200 ? 1 : 0);
            }
            Thread.sleep(300);
        }
    }

    /** Pipelines requests, the last ones with many short header lines, and closes the connection before their deadline. */
    private void leaveEarly(int port) throws Exception {
        while (crowded) {
            try (CallerStandIn caller = new CallerStandIn(port)) {
                StringBuilder requests = new StringBuilder();
                for (int i = 0; i < SMALL_REQUESTS; i++) {
                    requests.append(
                            CallerStandIn.request("GET", "/archive/", "c" + nextId.incrementAndGet(), 8_000, -1, ""));
                }
                for (int i = 0; i < ODD_REQUESTS; i++) {
                    String request =
                            CallerStandIn.request("GET", "/archive/", "c" + nextId.incrementAndGet(), 8_000, -1, "");
                    requests.append(request, 0, request.length() - 2)
                            .append("a:\r\n".repeat(ODD_HEADER_LINES))
                            .append("\r\n");
                }
                caller.send(requests.toString());
                Thread.sleep(STAY_MILLIS);
                left.incrementAndGet();
            } catch (IOException e) {
                record.debug("a caller of the crowd failed: " + e.getMessage());
                Thread.sleep(50);
            }
        }
    }
}
