package org.lacewingthread.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Objects;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** Sends one answer on its exchange, whole or with a fault. */
final class AnswerSender {
    private static final AttachmentKey<Answer> QUEUED_ANSWER = AttachmentKey.create(Answer.class);
    private static final Answer FOREIGN_ANSWER =
            new Answer("stranger", HttpExchanges.toJsonBytes(new HttpExchanges.Problem("answer to another request")));

    private final HttpServerExchange exchange;
    private final StandInServer server;
    private final long delayMillis;
    private final Answer previousAnswer;

    /**
     * Creates one.
     *
     * @param delayMillis delay of delayed answers
     * @param previousAnswer an answer to another request, or null if there was none
     */
    AnswerSender(HttpServerExchange exchange, StandInServer server, long delayMillis, Answer previousAnswer) {
        this.exchange = exchange;
        this.server = server;
        this.delayMillis = delayMillis;
        this.previousAnswer = previousAnswer;
    }

    /** Sends an answer, or the copy of an earlier one that still stands before it on the connection. */
    void send(Answer answer) {
        Answer stale = exchange.getConnection().getAttachment(QUEUED_ANSWER);
        if (stale == null) {
            write(answer);
            return;
        }
        exchange.getConnection().putAttachment(QUEUED_ANSWER, answer);
        write(stale);
    }

    /** Sends an answer, and again as the answer to the next request. */
    void sendDuplicated(Answer answer) {
        send(answer);
        exchange.getConnection().putAttachment(QUEUED_ANSWER, answer);
    }

    private void write(Answer answer) {
        if (server.isSilent(exchange)) {
            return;
        }
        exchange.getIoThread().execute(() -> {
            putRequestId(answer);
            HttpExchanges.send(exchange, 200, answer.body());
        });
    }

    private void putRequestId(Answer answer) {
        if (answer.requestId() != null) {
            exchange.getResponseHeaders().put(ReceivedRequest.REQUEST_ID_HEADER, answer.requestId());
        }
    }

    void sendDelayed(Answer answer) {
        server.schedule(delayMillis, () -> send(answer));
    }

    void closeConnection() {
        HttpExchanges.closeConnection(exchange);
    }

    Answer otherRequestsAnswer(Answer own) {
        return previousAnswer == null || Objects.equals(previousAnswer.requestId(), own.requestId())
                ? FOREIGN_ANSWER
                : previousAnswer;
    }

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
