package org.lacewingthread.daemon.caller;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** HTTP client that sends requests to an entry VM as a caller. */
public final class Caller {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String base;

    public Caller(int port) {
        this.base = "http://127.0.0.1:" + port;
    }

    public HttpResponse<String> get(String path, String... headers) throws IOException, InterruptedException {
        return client.send(request(path, headers).GET().build(), HttpResponse.BodyHandlers.ofString());
    }

    public HttpResponse<String> post(String path, String body, String... headers)
            throws IOException, InterruptedException {
        return client.send(post(path, headers, body), HttpResponse.BodyHandlers.ofString());
    }

    public CompletableFuture<HttpResponse<String>> postAsync(String path, String body, String... headers) {
        return client.sendAsync(post(path, headers, body), HttpResponse.BodyHandlers.ofString());
    }

    public CompletableFuture<HttpResponse<String>> getAsync(String path, String... headers) {
        return client.sendAsync(request(path, headers).GET().build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest post(String path, String[] headers, String body) {
        return request(path, headers)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private HttpRequest.Builder request(String path, String... headers) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create(base + path)).timeout(TIMEOUT);
        return headers.length == 0 ? builder : builder.headers(headers);
    }

    public static String resultOf(HttpResponse<?> response) {
        return response.headers().firstValue("Lacewingthread-Result").orElse("none");
    }

    public static String knowledgeOf(HttpResponse<?> response) {
        return response.headers().firstValue("Lacewingthread-Knowledge").orElse("none");
    }
}
