package org.lacewingthread.daemon.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.platform.BufferedHttpResponse;
import org.lacewingthread.daemon.platform.PlatformClient;

/**
 * Callers of the demo. Each sends one request at a time to a random entry VM that listens, as if through a
 * load balancer, and repeats a request that did not run or whose outcome is unknown.
 */
final class DemoCallers implements AutoCloseable {
    private static final PlatformClient.Timeouts TIMEOUTS = new PlatformClient.Timeouts(300, 6_000);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int CALLER_COUNT = 8;
    private static final int KEY_COUNT = 40;
    private static final double HOLD_RATIO = 0.3;
    private static final long PAUSE_MILLIS = 10;
    private static final long REQUEST_TIMEOUT_MILLIS = 5_000;
    private static final long RETRY_WAIT_MILLIS = 100;

    private final DemoCluster cluster;
    private final PlatformClient client;
    private final ConcurrentLinkedQueue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    private final AtomicLong nextRequestNumber = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopping;

    DemoCallers(DemoCluster cluster) throws IOException {
        this.cluster = cluster;
        this.client = PlatformClient.open(TIMEOUTS);
    }

    void start() {
        for (int i = 0; i < CALLER_COUNT; i++) {
            Random random = new Random(i);
            Thread thread = new Thread(() -> callUntilStopped(random), "caller-" + i);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void callUntilStopped(Random random) {
        try {
            while (!stopping) {
                long number = nextRequestNumber.getAndIncrement();
                String key = "key-" + random.nextInt(KEY_COUNT);
                boolean hold = random.nextDouble() < HOLD_RATIO;
                callUntilAnswered(hold ? DemoRequest.hold(key, number) : DemoRequest.lookup(key, number), random);
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void callUntilAnswered(DemoRequest request, Random random) throws InterruptedException {
        long deadlineMillis = nowMillis() + REQUEST_TIMEOUT_MILLIS;
        int attemptNumber = 1;
        while (nowMillis() < deadlineMillis) {
            List<String> vms = List.copyOf(cluster.vms().keySet());
            Attempt attempt = send(request, vms.get(random.nextInt(vms.size())), attemptNumber);
            attempts.add(attempt);
            if (attempt.isDone()) {
                return;
            }
            if (attempt.knowledge() == ResultCode.Knowledge.OUTCOME_UNKNOWN
                    && request.idempotencyKey().isPresent()) {
                attemptNumber++;
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_WAIT_MILLIS);
        }
    }

    private Attempt send(DemoRequest request, String vm, int attemptNumber) {
        URI base = URI.create("http://127.0.0.1:" + cluster.settingsOf(vm).callerPort());
        List<HeaderField> headers = new ArrayList<>();
        request.idempotencyKey().ifPresent(key -> {
            headers.add(new HeaderField("Idempotency-Key", key));
            headers.add(new HeaderField("Lacewingthread-Attempt", Integer.toString(attemptNumber)));
        });
        long sentMillis = nowMillis();
        try {
            BufferedHttpResponse answer =
                    client.call(base, new HttpString(request.method()), request.path(), headers, new byte[0]);
            return toAttempt(request, vm, sentMillis, answer);
        } catch (PlatformClient.NotSentException e) {
            return new Attempt(request, vm, sentMillis, nowMillis(), ResultCode.Knowledge.NOT_RUN, 0, false);
        } catch (IOException e) {
            return new Attempt(request, vm, sentMillis, nowMillis(), ResultCode.Knowledge.OUTCOME_UNKNOWN, 0, false);
        }
    }

    private static Attempt toAttempt(DemoRequest request, String vm, long sentMillis, BufferedHttpResponse answer)
            throws IOException {
        long endMillis = nowMillis();
        JsonNode body = MAPPER.readTree(new String(answer.body(), StandardCharsets.UTF_8));
        if (answer.status() == 200) {
            boolean bodyMatches = request.path().equals(body.path("path").asText());
            return new Attempt(
                    request,
                    vm,
                    sentMillis,
                    endMillis,
                    ResultCode.Knowledge.DONE,
                    ResultCode.DONE.number(),
                    bodyMatches);
        }
        int code = body.path("code").asInt();
        ResultCode.Knowledge knowledge =
                ResultCode.byNumber(code).map(ResultCode::knowledge).orElse(ResultCode.Knowledge.OUTCOME_UNKNOWN);
        return new Attempt(request, vm, sentMillis, endMillis, knowledge, code, false);
    }

    /** Returns the monotonic time of this process, in milliseconds. */
    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Returns the attempts that have ended so far. */
    List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    /** Stops the callers and waits until each has finished its current request. */
    void stop() throws InterruptedException {
        stopping = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }

    @Override
    public void close() {
        stopping = true;
        client.close();
    }
}
