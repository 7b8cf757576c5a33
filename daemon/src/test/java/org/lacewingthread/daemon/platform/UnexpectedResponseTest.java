package org.lacewingthread.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingthread.core.id.LogOffset;

/** Responses that violate the platform's protocol must fail with an exception that claims no more than is known. */
class UnexpectedResponseTest {
    private Undertow service;
    private PlatformClient client;
    private URI uri;
    private volatile int status;
    private volatile String retryAfter;
    private volatile String body;

    @BeforeEach
    void start() throws IOException {
        service = Undertow.builder()
                .addHttpListener(0, "127.0.0.1", this::handle)
                .setIoThreads(1)
                .build();
        service.start();
        InetSocketAddress address =
                (InetSocketAddress) service.getListenerInfo().get(0).getAddress();
        uri = URI.create("http://127.0.0.1:" + address.getPort());
        client = PlatformClient.open(new PlatformClient.Timeouts(2_000, 2_000));
    }

    private void handle(HttpServerExchange exchange) {
        exchange.setStatusCode(status);
        if (retryAfter != null) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfter);
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
    }

    @AfterEach
    void stop() {
        client.close();
        service.stop();
    }

    private void respondWith(int newStatus, String newBody) {
        status = newStatus;
        body = newBody == null ? "" : newBody;
    }

    /** Only statuses 429 and 503 prove that nothing was appended. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "200 |                       | OutcomeUnknown",
                "200 | not json              | OutcomeUnknown",
                "200 | []                    | OutcomeUnknown",
                "200 | {\"offset\":\"1\"}    | OutcomeUnknown",
                "200 | {\"offset\":1.5}      | OutcomeUnknown",
                "200 | {\"offset\":-1}       | OutcomeUnknown",
                "200 | {\"offset\":99999999999999999999} | OutcomeUnknown",
                "201 | {\"offset\":1}        | OutcomeUnknown",
                "302 |                       | OutcomeUnknown",
                "400 |                       | OutcomeUnknown",
                "404 |                       | OutcomeUnknown",
                "429 |                       | RateExceeded",
                "500 |                       | OutcomeUnknown",
                "502 |                       | OutcomeUnknown",
                "503 |                       | Unavailable",
                "504 |                       | OutcomeUnknown"
            })
    void appendThrowsOutcomeUnknownUnlessResponseProvesNoAppend(
            int responseStatus, String responseBody, String expected) {
        respondWith(responseStatus, responseBody);
        PlatformLog log = new HttpPlatformLog(client, uri, "routing");

        Throwable thrown = catchThrowable(() -> log.append(new byte[] {1}));

        assertThat(thrown).isInstanceOf(LogException.class);
        assertThat(thrown.getClass().getSimpleName()).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"7, 7000", ", 1000", "soon, 1000", "-1, 1000", "99999999999, 1000"})
    void retryAfterIsParsedOrDefaultsToOneSecond(String header, long expectedMillis) {
        respondWith(429, "");
        retryAfter = header;
        PlatformLog log = new HttpPlatformLog(client, uri, "routing");

        Throwable thrown = catchThrowable(() -> log.append(new byte[] {1}));

        assertThat(((LogException.RateExceeded) thrown).retryAfterMillis()).isEqualTo(expectedMillis);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "200 | not json",
                "200 | {}",
                "200 | {\"oldest\":0,\"end\":5,\"records\":{}}",
                "200 | {\"oldest\":0,\"records\":[]}",
                "200 | {\"end\":5,\"records\":[]}",
                "200 | {\"oldest\":0,\"end\":-2,\"records\":[]}",
                "200 | {\"oldest\":0,\"end\":5,\"records\":[{\"offset\":3}]}",
                "200 | {\"oldest\":0,\"end\":5,\"records\":[{\"offset\":3,\"data\":\"*\"}]}",
                "200 | {\"oldest\":0,\"end\":5,\"records\":[{\"offset\":2,\"data\":\"AA==\"}]}",
                "200 | {\"oldest\":0,\"end\":5,\"records\":[{\"offset\":4,\"data\":\"AA==\"},{\"offset\":4,\"data\":\"AA==\"}]}",
                "410 | {}",
                "500 | {\"oldest\":0,\"end\":5,\"records\":[]}"
            })
    void malformedReadResponseThrowsUnavailable(int responseStatus, String responseBody) {
        respondWith(responseStatus, responseBody);
        PlatformLog log = new HttpPlatformLog(client, uri, "routing");

        assertThat(catchThrowable(() -> log.read(new LogOffset(3), 10))).isInstanceOf(LogException.Unavailable.class);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "200 | not json",
                "200 | {\"live\":[]}",
                "200 | {\"live\":{},\"leaving\":[]}",
                "200 | {\"live\":[7],\"leaving\":[]}",
                "200 | {\"live\":[null],\"leaving\":[]}",
                "404 | {\"live\":[],\"leaving\":[]}"
            })
    void malformedVmListThrowsIoException(int responseStatus, String responseBody) {
        respondWith(responseStatus, responseBody);

        assertThat(catchThrowable(() -> new HttpVmList(client, uri).read())).isInstanceOf(IOException.class);
    }
}
