import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One backend of eight at a time fails a part of the requests that it runs and says so with its own sealed 503, without
 * Lacewingthread-Not-Executed. Checks that no at-most-once request that has run is answered 503.
 */
final class FailedRuns {
    private static final int BACKENDS = 8;
    private static final double FAILED_SHARE = 0.45;
    private static final int REQUESTS = 1_600;
    /** Time for which one backend fails, before the next one does. */
    private static final long TURN_MILLIS = 1_500;

    private static final int CALLERS = 10;

    private FailedRuns() {}

    public static void main(String[] arguments) throws Exception {
        RunRecord record = new RunRecord(Path.of(arguments[0], "record.txt"));
        int exit = Deployment.NOT_RUN;
        try (Deployment deployment = new Deployment(record, Configurations.small())) {
            for (int number = 0; number < BACKENDS; number++) {
                int turn = number;
                Random random = new Random(7);
                deployment.add(new BackendStandIn("i-" + number, "orders", 2, 60, 400, record) {
                    @Override
                    int statusOfRun() {
                        boolean failing = Deployment.hasTrouble()
                                && System.nanoTime() / 1_000_000 / TURN_MILLIS % BACKENDS == turn;
                        return failing && random.nextDouble() < FAILED_SHARE ? 503 : 200;
                    }
                });
            }
            if (deployment.start(1)) {
                exit = play(deployment, record);
            }
        } finally {
            System.exit(exit);
        }
    }

    private static int play(Deployment deployment, RunRecord record) throws Exception {
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger next = new AtomicInteger();
        List<Thread> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            callers.add(Threads.start("caller", () -> {
                for (int number = next.incrementAndGet(); number <= REQUESTS; number = next.incrementAndGet()) {
                    file("filing-" + number, deployment, record, served, broken);
                }
            }));
        }
        for (Thread caller : callers) {
            caller.join();
        }
        record.note("served " + served + " of " + REQUESTS + ", answered with a false promise " + broken);
        if (served.get() < REQUESTS / 2) {
            return Deployment.NOT_RUN;
        }
        return broken.get() > 0 ? Deployment.BROKEN : Deployment.HELD;
    }

    private static void file(
            String id, Deployment deployment, RunRecord record, AtomicInteger served, AtomicInteger broken)
            throws Exception {
        try (Deployment.Call call = new Deployment.Call(deployment.routers.get(0).callerPort, 4_000)) {
            record.note("sent " + id);
            call.send(
                    "POST /f/" + id + " HTTP/1.1\r\nHost: h.example\r\nLacewingthread-Attempt-Id: " + id
                            + "\r\nLacewingthread-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\n",
                    "order".getBytes(StandardCharsets.US_ASCII));
            Deployment.Call.Answer answer = call.read();
            int status = answer == null ? 0 : answer.status();
            boolean promised = status == 503 || status == 429 || status == 408 || status == 421;
            boolean falsePromise = promised && record.runs(id) > 0;
            served.addAndGet(status == 200 ? 1 : 0);
            broken.addAndGet(falsePromise ? 1 : 0);
            record.note("answered " + id + ": " + status + ", runs " + record.runs(id)
                    + (falsePromise ? " REFUSED broken: it has run" : ""));
        }
    }
}
