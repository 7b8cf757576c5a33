package org.lacewingthread.daemon.backend;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;
import org.lacewingthread.core.traffic.RetryDecision.FailedAttempt;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Sends one request on a connection and reads its response. Confined to the connection's I/O thread.
 *
 * <p>The connection is reused only if the response is complete, carries the id of the request, and ended
 * after the whole request was written. Otherwise it is closed.
 */
final class BackendExchange {
    static final HttpString REQUEST_ID = new HttpString("Lacewingthread-Request");

    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final int MAX_UNCONSUMED_BYTES = 512 * 1024;
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;

    private final ClientConnection connection;
    private final BackendRequest request;
    private final BackendResponseHandler responseHandler;
    private final Runnable onReusable;
    private boolean requestWritten;
    private boolean finished;
    private boolean persistent;
    private int unconsumedBytes;
    private StreamSourceChannel source;

    /**
     * Creates an exchange.
     *
     * @param connection connection without an outstanding request
     * @param request request to send
     * @param responseHandler receives the response or the failure
     * @param onReusable run when the connection may carry another request
     */
    BackendExchange(
            ClientConnection connection,
            BackendRequest request,
            BackendResponseHandler responseHandler,
            Runnable onReusable) {
        this.connection = connection;
        this.request = request;
        this.responseHandler = responseHandler;
        this.onReusable = onReusable;
    }

    void start() {
        if (!connection.isOpen()) {
            // Provably not sent: nothing was written on this connection for this request.
            finished = true;
            responseHandler.onFailed(
                    FailedAttempt.NEVER_SENT, "the connection was closed before the request was written");
            return;
        }
        Optional<SendPermit> permit = responseHandler.permitSend();
        if (permit.isEmpty()) {
            // Provably not sent: the permit is requested before the first byte is written.
            finished = true;
            onReusable.run();
            responseHandler.onFailed(FailedAttempt.NEVER_SENT, "the request may not be sent any more");
            return;
        }
        connection.sendRequest(toClientRequest(permit.get()), callback(this::writeBody));
    }

    void onConnectionClosed() {
        fail("the connection was closed before the answer was whole");
    }

    /** Closes the connection. The response handler is not called again. */
    void abandon() {
        finished = true;
        IoUtils.safeClose(connection);
    }

    private ClientRequest toClientRequest(SendPermit permit) {
        ClientRequest clientRequest =
                new ClientRequest().setMethod(new HttpString(request.method())).setPath(request.path());
        for (HeaderField field : request.headers()) {
            clientRequest.getRequestHeaders().add(new HttpString(field.name()), field.value());
        }
        for (HeaderField field : permit.headers()) {
            clientRequest.getRequestHeaders().put(new HttpString(field.name()), field.value());
        }
        if (!clientRequest.getRequestHeaders().contains(Headers.HOST)) {
            clientRequest.getRequestHeaders().put(Headers.HOST, hostOf(connection));
        }
        clientRequest.getRequestHeaders().put(REQUEST_ID, request.requestId());
        clientRequest.getRequestHeaders().remove(Headers.CONTENT_LENGTH);
        if (request.body().length > 0) {
            clientRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.body().length);
        }
        return clientRequest;
    }

    private static String hostOf(ClientConnection connection) {
        InetSocketAddress server = connection.getPeerAddress(InetSocketAddress.class);
        return server.getHostString() + ":" + server.getPort();
    }

    private void writeBody(ClientExchange exchange) {
        exchange.setResponseListener(callback(this::onResponseHead));
        if (request.body().length == 0) {
            requestWritten = true;
            return;
        }
        ByteBuffer remaining = ByteBuffer.wrap(request.body());
        StreamSinkChannel sink = exchange.getRequestChannel();
        sink.getWriteSetter().set(channel -> writeRemaining(channel, remaining));
        writeRemaining(sink, remaining);
    }

    private void writeRemaining(StreamSinkChannel sink, ByteBuffer remaining) {
        try {
            while (remaining.hasRemaining()) {
                if (sink.write(remaining) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (!sink.flush()) {
                sink.resumeWrites();
                return;
            }
            sink.suspendWrites();
            requestWritten = true;
        } catch (IOException e) {
            fail("writing the request failed: " + e.getMessage());
        }
    }

    private void onResponseHead(ClientExchange exchange) {
        if (finished) {
            return;
        }
        ClientResponse response = exchange.getResponse();
        String id = response.getResponseHeaders().getFirst(REQUEST_ID);
        if (id == null ? request.responseMustRepeatId() : !id.equals(request.requestId())) {
            fail("the answer carries the id \"" + id + "\" of another request");
            return;
        }
        if (!isDelimited(response)) {
            fail("the answer has neither a length nor chunks, so that its end can't be told");
            return;
        }
        persistent = isPersistent(response);
        source = exchange.getResponseChannel();
        source.getReadSetter().set(channel -> readBody());
        responseHandler.onHead(response.getResponseCode(), HopByHopHeaders.endToEnd(response.getResponseHeaders()));
        readBody();
    }

    private boolean isDelimited(ClientResponse response) {
        int status = response.getResponseCode();
        return response.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
                || response.getResponseHeaders().contains(Headers.TRANSFER_ENCODING)
                || status == STATUS_NO_CONTENT
                || status == STATUS_NOT_MODIFIED
                || request.method().equals("HEAD");
    }

    private static boolean isPersistent(ClientResponse response) {
        String value = response.getResponseHeaders().getFirst(Headers.CONNECTION);
        return response.getProtocol().toString().equals("HTTP/1.1")
                && (value == null || !value.equalsIgnoreCase("close"));
    }

    private void readBody() {
        ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
        while (!finished) {
            if (unconsumedBytes >= MAX_UNCONSUMED_BYTES) {
                source.suspendReads();
                return;
            }
            int count = read(buffer.clear());
            if (count == 0) {
                source.resumeReads();
                return;
            }
            if (count < 0) {
                onBodyEnd();
                return;
            }
            forwardChunk(buffer.flip());
        }
    }

    private int read(ByteBuffer buffer) {
        try {
            return source.read(buffer);
        } catch (IOException e) {
            fail("the answer ended before it was whole: " + e.getMessage());
            return 0;
        }
    }

    private void forwardChunk(ByteBuffer buffer) {
        byte[] chunk = new byte[buffer.remaining()];
        buffer.get(chunk);
        unconsumedBytes += chunk.length;
        responseHandler.onBody(chunk, () -> connection.getIoThread().execute(() -> onConsumed(chunk.length)));
    }

    private void onConsumed(int bytes) {
        boolean wasFull = unconsumedBytes >= MAX_UNCONSUMED_BYTES;
        unconsumedBytes -= bytes;
        if (wasFull && unconsumedBytes < MAX_UNCONSUMED_BYTES && !finished) {
            readBody();
        }
    }

    private void onBodyEnd() {
        if (finished) {
            return;
        }
        finished = true;
        source.suspendReads();
        if (persistent && requestWritten && connection.isOpen()) {
            onReusable.run();
        } else {
            IoUtils.safeClose(connection);
        }
        responseHandler.onEnd();
    }

    private void fail(String detail) {
        if (finished) {
            return;
        }
        finished = true;
        IoUtils.safeClose(connection);
        responseHandler.onFailed(FailedAttempt.MAY_HAVE_RUN, detail);
    }

    private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> next) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                next.accept(exchange);
            }

            @Override
            public void failed(IOException e) {
                fail("the connection failed: " + e.getMessage());
            }
        };
    }
}
