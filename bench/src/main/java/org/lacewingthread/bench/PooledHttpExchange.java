package org.lacewingthread.bench;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/** One HTTP request on a pooled connection. Runs on the I/O thread of the connection. */
final class PooledHttpExchange {
    private static final HttpString RESULT_HEADER = new HttpString("Lacewingthread-Result");
    private static final int READ_BUFFER_BYTES = 16 << 10;
    private static final int FIRST_ERROR_STATUS = 400;

    private final ClientConnection connection;
    private final URI target;
    private final PlannedRequest planned;
    private final Consumer<Result> onFinished;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private XnioExecutor.Key timeout;
    private boolean finished;

    /** Result of the exchange, and whether its connection can be reused. */
    record Result(String code, boolean success, boolean matchesRequest, boolean reusable) {}

    PooledHttpExchange(ClientConnection connection, URI target, PlannedRequest planned, Consumer<Result> onEnd) {
        this.connection = connection;
        this.target = target;
        this.planned = planned;
        this.onFinished = onEnd;
    }

    void start(XnioExecutor.Key timeoutKey) {
        timeout = timeoutKey;
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(planned.method())).setPath(planned.path());
        request.getRequestHeaders().put(Headers.HOST, target.getAuthority());
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, 0);
        planned.headers().forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
        connection.sendRequest(
                request,
                callback(exchange -> exchange.setResponseListener(
                        callback(answered -> readBody(answered.getResponseChannel(), answered.getResponse())))));
    }

    void timeOut() {
        finish(new Result("timeout", false, true, false));
    }

    private void readBody(StreamSourceChannel channel, ClientResponse head) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
        while (true) {
            buffer.clear();
            int count = channel.read(buffer);
            if (count == 0) {
                channel.getReadSetter().set(ready -> runOrFail(() -> readBody(ready, head)));
                channel.resumeReads();
                return;
            }
            if (count < 0) {
                finishWithAnswer(head);
                return;
            }
            body.write(buffer.array(), 0, count);
        }
    }

    private void finishWithAnswer(ClientResponse head) {
        String result = head.getResponseHeaders().getFirst(RESULT_HEADER);
        boolean success = head.getResponseCode() < FIRST_ERROR_STATUS;
        String code = result == null ? "http-" + head.getResponseCode() : result;
        String bodyText = body.toString(StandardCharsets.UTF_8);
        boolean matchesRequest =
                !success || !bodyText.contains("\"path\"") || bodyText.contains('"' + planned.path() + '"');
        finish(new Result(code, success, matchesRequest, true));
    }

    private interface Step {
        void run() throws IOException;
    }

    private interface ExchangeStep {
        void run(ClientExchange exchange) throws IOException;
    }

    private void runOrFail(Step step) {
        try {
            step.run();
        } catch (IOException e) {
            finish(new Result("answer-lost", false, true, false));
        }
    }

    private ClientCallback<ClientExchange> callback(ExchangeStep step) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                runOrFail(() -> step.run(exchange));
            }

            @Override
            public void failed(IOException e) {
                finish(new Result("answer-lost", false, true, false));
            }
        };
    }

    private void finish(Result result) {
        if (finished) {
            return;
        }
        finished = true;
        timeout.remove();
        onFinished.accept(result);
    }
}
