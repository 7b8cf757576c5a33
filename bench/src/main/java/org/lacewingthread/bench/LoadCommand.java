package org.lacewingthread.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Sends requests to an address on the loopback interface at a fixed rate, independently of the answers, and prints
 * latencies, results by code and goodput. Latencies count from the intended send time, so that a stalled server cannot
 * hide its delay. Goodput counts successful answers received within the deadline.
 *
 * <pre>
 * java -cp ... org.lacewingthread.bench.LoadCommand --url http://127.0.0.1:8080 --rate 2000
 *     --warm-up-seconds 2 --seconds 10 --mix 70,20,10 --keys 10000 --connections 100
 *     --deadline-millis 1000
 * </pre>
 *
 * <p>The exit code is 0, 1 if a request received the answer to another request, or 2 if an option is invalid.
 */
public final class LoadCommand {
    private static final int MISMATCHED_ANSWER = 1;
    private static final int USAGE_ERROR = 2;
    private static final int GRACE_MILLIS = 1_000;
    private static final String DEADLINE_HEADER = "Lacewingthread-Deadline-Millis";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    private final LoadOptions options;
    private final LoadReport report;
    private final Random random;

    private LoadCommand(LoadOptions options) {
        this.options = options;
        this.report = new LoadReport(options.deadlineMillis());
        this.random = new Random(options.seed());
    }

    /** Sends the load, prints the report and exits with the exit code of the command. */
    public static void main(String[] args) throws IOException, InterruptedException {
        System.exit(run(System.out, args));
    }

    /** Sends the load described by the arguments, prints the report and returns the exit code. */
    static int run(PrintStream out, String... args) throws IOException, InterruptedException {
        LoadOptions options;
        try {
            options = LoadOptions.parse(args);
        } catch (IllegalArgumentException e) {
            out.println(e.getMessage());
            return USAGE_ERROR;
        }
        LoadReport report = new LoadCommand(options).send(out);
        return report.mismatchedAnswers() > 0 ? MISMATCHED_ANSWER : 0;
    }

    private LoadReport send(PrintStream out) throws IOException, InterruptedException {
        int warmUp = options.warmUpRequests();
        int total = warmUp + options.countedRequests();
        CountDownLatch pendingOutcomes = new CountDownLatch(total);
        try (HttpConnectionPools pools = new HttpConnectionPools(options.target(), options.connections())) {
            long startNanos = System.nanoTime();
            for (int number = 0; number < total; number++) {
                long intendedNanos = startNanos + number * TimeUnit.SECONDS.toNanos(1) / options.ratePerSecond();
                waitUntil(intendedNanos);
                pools.submit(number, plan(number, intendedNanos, pendingOutcomes));
            }
            double countedSeconds = (double) options.countedRequests() / options.ratePerSecond();
            boolean complete =
                    pendingOutcomes.await(options.deadlineMillis() + 2L * GRACE_MILLIS, TimeUnit.MILLISECONDS);
            out.printf(
                    "%d requests at %d/s to %s, after %d to warm up%n",
                    options.countedRequests(), options.ratePerSecond(), options.target(), warmUp);
            report.print(out, countedSeconds);
            if (!complete) {
                out.println("    without outcome: " + pendingOutcomes.getCount());
            }
        }
        return report;
    }

    private static void waitUntil(long nanos) {
        for (long leftNanos = nanos - System.nanoTime(); leftNanos > 0; leftNanos = nanos - System.nanoTime()) {
            LockSupport.parkNanos(leftNanos);
        }
    }

    private PlannedRequest plan(int number, long intendedNanos, CountDownLatch pendingOutcomes) {
        LoadOptions.Kind kind = chooseKind();
        Map<String, String> headers = new HashMap<>();
        headers.put(DEADLINE_HEADER, Integer.toString(options.deadlineMillis()));
        if (kind.withIdempotencyKey()) {
            headers.put(IDEMPOTENCY_KEY_HEADER, UUID.randomUUID().toString());
        }
        String path = kind.pathTemplate().replace("{key}", "k" + chooseKey()) + "?n=" + number;
        return new PlannedRequest(
                kind.name(),
                kind.method(),
                path,
                headers,
                intendedNanos,
                options.deadlineMillis() + GRACE_MILLIS,
                outcome -> {
                    if (number >= options.warmUpRequests()) {
                        report.add(kind.name(), outcome);
                    }
                    pendingOutcomes.countDown();
                });
    }

    private LoadOptions.Kind chooseKind() {
        int total = options.kinds().stream().mapToInt(LoadOptions.Kind::weight).sum();
        int remaining = random.nextInt(total);
        for (LoadOptions.Kind kind : options.kinds()) {
            remaining -= kind.weight();
            if (remaining < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("weights of the request kinds do not add up to " + total);
    }

    private int chooseKey() {
        return random.nextDouble() < options.hotKeyShare() ? 0 : random.nextInt(options.keys());
    }
}
