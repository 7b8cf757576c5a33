package org.lacewingthread.daemon.demo;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.daemon.operator.publish.PublisherClock;

class EndToEndRoutingTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final HttpClient client = HttpClient.newHttpClient();

    @Test
    void lookupThroughEveryEntryVmIsAnswered() throws Exception {
        try (DemoCluster cluster = DemoCluster.start(List.of("maras", "calca"), 3, 2)) {
            publish(cluster);
            for (String vm : cluster.vms().keySet()) {
                for (int key = 0; key < 10; key++) {
                    URI lookup = callerUri(cluster, vm, "/rugs/rug-" + key);
                    await().atMost(TIMEOUT)
                            .untilAsserted(() -> assertThat(get(lookup)).startsWith("200 "));
                }
            }
        }
    }

    private static URI callerUri(DemoCluster cluster, String vm, String path) {
        return URI.create("http://127.0.0.1:" + cluster.settingsOf(vm).callerPort() + path);
    }

    private String get(URI uri) throws IOException, InterruptedException {
        HttpResponse<String> response =
                client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
        return response.statusCode() + " " + response.body();
    }

    private static void publish(DemoCluster cluster) throws Exception {
        try (DemoOperator operator = new DemoOperator(cluster)) {
            long deadlineMillis = PublisherClock.SYSTEM.monotonicMillis() + TIMEOUT.toMillis();
            LogRecord record =
                    new LogRecord.ConfigurationPublished(LogOffset.NONE, DemoConfiguration.of(cluster.serverSpecs()));
            operator.publisher().publish(record, deadlineMillis);
        }
    }
}
