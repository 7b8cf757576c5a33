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

/** Sends one request on a connection and reads its response into memory. Runs on the connection's I/O thread. */
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

    /** Returns the response; completes exceptionally with an {@link IOException} if it can't be read completely. */
    CompletableFuture<BufferedHttpResponse> response() {
        return response;
    }

    /** Fails the call if its response is not complete. */
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
                channel.getWriteSetter().set(ready -> runOrFail(() -> writeBody(ready)));
                channel.resumeWrites();
                return;
            }
        }
        channel.shutdownWrites();
        flush(channel);
    }

    private void flush(StreamSinkChannel channel) throws IOException {
        if (!channel.flush()) {
            channel.getWriteSetter().set(ready -> runOrFail(() -> flush(ready)));
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
                channel.getReadSetter().set(ready -> runOrFail(() -> readBody(ready, head)));
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
                throw new IOException("the response is larger than " + MAX_RESPONSE_BYTES + " bytes");
            }
        }
    }

    private interface IoAction {
        void run() throws IOException;
    }

    private interface ExchangeAction {
        void run(ClientExchange exchange) throws IOException;
    }

    private void runOrFail(IoAction action) {
        try {
            action.run();
        } catch (IOException e) {
            response.completeExceptionally(e);
        }
    }

    private ClientCallback<ClientExchange> callback(ExchangeAction action) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                runOrFail(() -> action.run(exchange));
            }

            @Override
            public void failed(IOException e) {
                response.completeExceptionally(e);
            }
        };
    }
}
