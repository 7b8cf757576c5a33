package org.lacewingthread.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.control.AuditLine;
import org.lacewingthread.core.id.LogOffset;

class OperatorServerTest {
    private final HttpClient client = HttpClient.newHttpClient();
    private final AtomicInteger leaveCount = new AtomicInteger();
    private volatile VmStatus status = newStatus(false);
    private OperatorServer server;

    @BeforeEach
    void startServer() {
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        new ControlMetrics(registry, () -> status).register();
        AuditLine line = new AuditLine(new LogOffset(4), "quispe", 0, "server-drain-set", true, "server a");
        server = new OperatorServer(
                "127.0.0.1", 0, () -> status, () -> List.of(line), registry, leaveCount::incrementAndGet);
        server.start();
    }

    @AfterEach
    void stopServer() {
        server.close();
    }

    @Test
    void liveAnswers200AndReady503UntilTheVmIsReady() throws Exception {
        assertThat(get("/live").statusCode()).isEqualTo(200);
        assertThat(get("/ready").statusCode()).isEqualTo(503);
        status = newStatus(true);
        assertThat(get("/ready").statusCode()).isEqualTo(200);
    }

    @Test
    void metricsReflectCurrentStatus() throws Exception {
        assertThat(get("/metrics").body()).contains("lacewingthread_ready 0.0");
        status = newStatus(true);
        assertThat(get("/metrics").body())
                .contains("lacewingthread_ready 1.0")
                .contains("lacewingthread_leading 1.0")
                .contains("lacewingthread_configuration_revision 5.0");
    }

    @Test
    void statusContainsLeader() throws Exception {
        assertThat(get("/status").body()).contains("\"leader\" : \"maras-1\"");
    }

    @Test
    void auditContainsAuthor() throws Exception {
        assertThat(get("/audit").body()).contains("\"author\" : \"quispe\"");
    }

    @Test
    void leaveRequiresPost() throws Exception {
        assertThat(get("/leave").statusCode()).isEqualTo(405);
        assertThat(leaveCount).hasValue(0);
        HttpRequest post = HttpRequest.newBuilder(uri("/leave"))
                .POST(HttpRequest.BodyPublishers.noBody())
                .build();
        assertThat(client.send(post, HttpResponse.BodyHandlers.ofString()).statusCode())
                .isEqualTo(202);
        assertThat(leaveCount).hasValue(1);
    }

    private HttpResponse<String> get(String path) throws IOException, InterruptedException {
        return client.send(HttpRequest.newBuilder(uri(path)).build(), HttpResponse.BodyHandlers.ofString());
    }

    private URI uri(String path) {
        return URI.create("http://127.0.0.1:" + server.port() + path);
    }

    private static VmStatus newStatus(boolean ready) {
        return new VmStatus(
                "maras-1",
                7,
                "maras",
                ready,
                false,
                9,
                5,
                List.of("maras-1#7"),
                "maras-1",
                "3.0.maras-1#7",
                2,
                400,
                Map.of());
    }
}
