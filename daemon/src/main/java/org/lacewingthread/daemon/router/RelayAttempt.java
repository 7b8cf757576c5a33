package org.lacewingthread.daemon.router;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.memory.MemoryAccount;
import org.lacewingthread.core.reachability.RelayPeer;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.http.FullResponse;

/** An attempt that another entry VM makes for this one; collects its response. Runs on the traffic thread. */
final class RelayAttempt implements ResponseSink {
    /** Field between entry VMs that names the server; it comes before those of the response. */
    private static final String ANSWERED_BY = "lacewingthread-answered-by";

    private static final char START_SEPARATOR = '@';

    private final RelayPeer peer;
    private final long sentMillis;
    private final Listener listener;
    private final RelayedBody body;
    private HttpHeaders headers = new DefaultHttpHeaders();
    private RequestHandler.Cancellation cancellation = () -> {};
    private Optional<ServerStart> server = Optional.empty();
    private int handedOverAttempts = 1;
    private int status;
    private boolean ended;
    private boolean mayHaveRun = true;

    /** Receives the end of an attempt; one of the methods is called once. */
    interface Listener {
        /** Called with the complete response of a server. */
        void onResponse(RelayAttempt attempt, FullResponse response);

        /** Called if there is none. */
        void onFailure(RelayAttempt attempt, Failure failure);
    }

    /**
     * Creates an attempt.
     *
     * @param account counts the response
     * @param clockMillis monotonic clock in milliseconds
     */
    RelayAttempt(RelayPeer peer, long sentMillis, MemoryAccount account, LongSupplier clockMillis, Listener listener) {
        this.peer = peer;
        this.sentMillis = sentMillis;
        this.listener = listener;
        this.body = new RelayedBody(account, clockMillis, this::giveUp);
    }

    /** Returns the field that tells which server answered. */
    static HeaderField answeredBy(ServerStart server) {
        return new HeaderField(ANSWERED_BY, server.server().value() + START_SEPARATOR + server.startedUnixMillis());
    }

    private static ServerStart parseServer(String text) {
        int separator = text.lastIndexOf(START_SEPARATOR);
        return new ServerStart(
                new ServerId(text.substring(0, separator)), Long.parseLong(text.substring(separator + 1)));
    }

    /** Returns the server that answered, by the fields of a response between entry VMs; empty if none is named. */
    static Optional<ServerStart> serverIn(List<HeaderField> fields) {
        return fields.stream()
                .filter(field -> field.name().equals(ANSWERED_BY))
                .findFirst()
                .map(field -> parseServer(field.value()));
    }

    /** Returns the server that answered; empty while none has. */
    Optional<ServerStart> server() {
        return server;
    }

    RelayPeer peer() {
        return peer;
    }

    long sentMillis() {
        return sentMillis;
    }

    /** Returns how many servers the other entry VM may send the request to. */
    int handedOverAttempts() {
        return handedOverAttempts;
    }

    void setHandedOverAttempts(int attempts) {
        handedOverAttempts = attempts;
    }

    /** Returns whether a server may have run the request; true until the other entry VM tells that none has. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    boolean isEnded() {
        return ended;
    }

    void setCancellation(RequestHandler.Cancellation onCancel) {
        cancellation = onCancel;
    }

    /** Ends the attempt and tells the other entry VM; the listener is not called. */
    void cancel() {
        if (!ended) {
            ended = true;
            body.release();
            cancellation.cancel();
        }
    }

    @Override
    public boolean isAbandoned() {
        return ended;
    }

    @Override
    public void onHead(ResponseStatus responseStatus, List<HeaderField> fields) {
        status = responseStatus.httpStatus();
        for (HeaderField field : fields) {
            if (server.isEmpty() && field.name().equals(ANSWERED_BY)) {
                server = Optional.of(parseServer(field.value()));
            } else {
                headers.add(field.name(), field.value());
            }
        }
    }

    @Override
    public void onBody(byte[] chunk, Runnable consumed) {
        if (!ended) {
            body.add(
                    chunk,
                    server.map(start -> start.server().value()).orElse(peer.vm().value()));
        }
    }

    private void giveUp() {
        if (!ended) {
            cancellation.cancel();
            onFailure(new Failure(
                    ResultCode.ANSWER_LOST, 0, "the memory for responses is used up, and this one has the most bytes"));
        }
    }

    @Override
    public void onEnd() {
        end(() -> listener.onResponse(this, new FullResponse(status, headers, body.whole())));
    }

    @Override
    public void onFailure(Failure failure) {
        end(() -> {
            mayHaveRun = failure.code().knowledge() != ResultCode.Knowledge.NOT_RUN;
            listener.onFailure(this, failure);
        });
    }

    private void end(Runnable result) {
        if (!ended) {
            ended = true;
            body.release();
            result.run();
        }
    }
}
