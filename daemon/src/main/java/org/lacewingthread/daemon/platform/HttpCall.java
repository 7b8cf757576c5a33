package org.lacewingthread.daemon.platform;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One request and its answer on one connection. Runs on the connection's I/O thread. */
final class HttpCall implements Runnable {
    private static final int MAX_RESPONSE_BYTES = 32 << 20;
    private static final int READ_BUFFER_BYTES = 16 << 10;

    private final ClientConnection connection;
    private final ClientRequest request;
    private final ByteBuffer requestBody;
    private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private final CompletableFuture<BufferedHttpResponse> response = new CompletableFuture<>();

    HttpCall(ClientConnection connection, ClientRequest request, byte[] requestBody) {
        this.connection = connection;
        this.request = request;
        this.requestBody = ByteBuffer.wrap(requestBody);
    }

    /** Returns the answer; completes exceptionally with an {@link IOException} if it is not whole. */
    CompletableFuture<BufferedHttpResponse> response() {
        return response;
    }

    /** Fails the call if it is still unanswered. */
    void connectionClosed() {
        response.completeExceptionally(new IOException("the connection was closed"));
    }

    @Override
    public void run() {
        connection.sendRequest(request, callback(this::onSent));
    }

    private void onSent(ClientExchange exchange) throws IOException {
        exchange.setResponseListener(callback(this::onResponseHead));
        if (requestBody.hasRemaining()) {
            writeBody(exchange.getRequestChannel());
        }
    }

    private void writeBody(StreamSinkChannel channel) throws IOException {
        while (requestBody.hasRemaining()) {
            if (channel.write(requestBody) == 0) {
                channel.getWriteSetter().set(ready -> attempt(() -> writeBody(ready)));
                channel.resumeWrites();
                return;
            }
        }
        channel.shutdownWrites();
        flush(channel);
    }

    private void flush(StreamSinkChannel channel) throws IOException {
        if (!channel.flush()) {
            channel.getWriteSetter().set(ready -> attempt(() -> flush(ready)));
            channel.resumeWrites();
            return;
        }
        channel.suspendWrites();
    }

    private void onResponseHead(ClientExchange exchange) throws IOException {
        readBody(exchange.getResponseChannel(), exchange.getResponse());
    }

    private void readBody(StreamSourceChannel channel, ClientResponse head) throws IOException {
        while (true) {
            readBuffer.clear();
            int count = channel.read(readBuffer);
            if (count == 0) {
                channel.getReadSetter().set(ready -> attempt(() -> readBody(ready, head)));
                channel.resumeReads();
                return;
            }
            if (count < 0) {
                String retryAfter = head.getResponseHeaders().getFirst(Headers.RETRY_AFTER);
                response.complete(
                        new BufferedHttpResponse(head.getResponseCode(), retryAfter, responseBody.toByteArray()));
                return;
            }
            responseBody.write(readBuffer.array(), 0, count);
            if (responseBody.size() > MAX_RESPONSE_BYTES) {
                throw new IOException("answer is larger than " + MAX_RESPONSE_BYTES + " bytes");
            }
        }
    }

    private interface Step {
        void run() throws IOException;
    }

    private interface ExchangeStep {
        void run(ClientExchange exchange) throws IOException;
    }

    private void attempt(Step step) {
        try {
            step.run();
        } catch (IOException e) {
            response.completeExceptionally(e);
        }
    }

    private ClientCallback<ClientExchange> callback(ExchangeStep step) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                attempt(() -> step.run(exchange));
            }

            @Override
            public void failed(IOException e) {
                response.completeExceptionally(e);
            }
        };
    }
}
