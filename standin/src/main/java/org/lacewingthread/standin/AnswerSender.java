package org.lacewingthread.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Objects;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Sends the answer to one request, complete or with a fault. A duplicated answer is kept on its
 * connection, so that every later answer on that connection is sent one request late.
 */
final class AnswerSender {
    private static final AttachmentKey<Answer> QUEUED_ANSWER = AttachmentKey.create(Answer.class);
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final Answer FOREIGN_ANSWER =
            new Answer("stranger", HttpExchanges.toJsonBytes(new HttpExchanges.Problem("answer to another request")));

    private final HttpServerExchange exchange;
    private final StandInServer server;
    private final long delayMillis;
    private final Answer previousAnswer;

    /**
     * Creates a sender for one exchange.
     *
     * @param delayMillis delay of answers sent by {@link #sendDelayed}
     * @param previousAnswer the last answer sent to any request, or null if there was none
     */
    AnswerSender(HttpServerExchange exchange, StandInServer server, long delayMillis, Answer previousAnswer) {
        this.exchange = exchange;
        this.server = server;
        this.delayMillis = delayMillis;
        this.previousAnswer = previousAnswer;
    }

    /** Sends an answer; if one is queued on the connection, sends that instead and queues this one. */
    void send(Answer answer) {
        Answer queued = exchange.getConnection().getAttachment(QUEUED_ANSWER);
        if (queued == null) {
            write(STATUS_OK, answer);
            return;
        }
        exchange.getConnection().putAttachment(QUEUED_ANSWER, answer);
        write(STATUS_OK, queued);
    }

    /** Sends an answer, and queues it to be sent again in response to the connection's next request. */
    void sendDuplicated(Answer answer) {
        send(answer);
        exchange.getConnection().putAttachment(QUEUED_ANSWER, answer);
    }

    /** Sends an answer with status 503. */
    void sendUnavailable(Answer answer) {
        write(STATUS_UNAVAILABLE, answer);
    }

    private void write(int status, Answer answer) {
        if (server.isSilent(exchange)) {
            return;
        }
        exchange.getIoThread().execute(() -> {
            putRequestId(answer);
            HttpExchanges.send(exchange, status, answer.body());
        });
    }

    private void putRequestId(Answer answer) {
        if (answer.requestId() != null) {
            exchange.getResponseHeaders().put(ReceivedRequest.REQUEST_ID_HEADER, answer.requestId());
        }
    }

    /** Sends an answer after the configured delay. */
    void sendDelayed(Answer answer) {
        server.schedule(delayMillis, () -> send(answer));
    }

    /** Closes the connection without an answer. */
    void closeConnection() {
        HttpExchanges.closeConnection(exchange);
    }

    /** Returns an answer with the id of a request other than the given answer's. */
    Answer otherRequestsAnswer(Answer own) {
        return previousAnswer == null || Objects.equals(previousAnswer.requestId(), own.requestId())
                ? FOREIGN_ANSWER
                : previousAnswer;
    }

    /** Announces the full length, sends the first half of the body, then closes the connection. */
    void sendTruncated(Answer answer) {
        exchange.getIoThread().execute(() -> {
            putRequestId(answer);
            exchange.setResponseContentLength(answer.body().length);
            ByteBuffer half = ByteBuffer.wrap(answer.body(), 0, answer.body().length / 2);
            StreamSinkChannel channel = exchange.getResponseChannel();
            try {
                writeAndClose(channel, half);
            } catch (IOException e) {
                IoUtils.safeClose(exchange.getConnection());
            }
        });
    }

    private void writeAndClose(StreamSinkChannel channel, ByteBuffer half) throws IOException {
        int written;
        do {
            written = channel.write(half);
        } while (written > 0 && half.hasRemaining());
        if (channel.flush()) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        channel.getWriteSetter()
                .set(ChannelListeners.flushingChannelListener(
                        flushed -> IoUtils.safeClose(exchange.getConnection()),
                        (failed, e) -> IoUtils.safeClose(exchange.getConnection())));
        channel.resumeWrites();
    }
}
