package org.lacewingthread.daemon.backend;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.lacewingthread.core.traffic.RetryDecision.Attempt;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** A call of the router's own with a small answer and a timeout; confined to one I/O thread. */
final class BufferedRequest implements BackendResponseHandler {
    private static final int MAX_ANSWER_BYTES = 64 * 1024;

    private final BooleanSupplier maySend;
    private final Consumer<Result> onResult;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private BackendConnectionPool.Handle handle;
    private XnioExecutor.Key timer = XnioExecutor.Key.IMMEDIATE;
    private boolean sendPermitted;
    private boolean finished;
    private int status;

    /**
     * What became of a call.
     *
     * @param failure what is known if there is no whole answer, otherwise null
     * @param status HTTP status of the answer
     * @param body body of the answer; not to be changed
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Result(Attempt failure, int status, byte[] body) {
        boolean isAnswered() {
            return failure == null;
        }

        static Result failed(Attempt known) {
            return new Result(known, 0, new byte[0]);
        }
    }

    private BufferedRequest(BooleanSupplier maySend, Consumer<Result> onResult) {
        this.maySend = maySend;
        this.onResult = onResult;
    }

    /** Sends a call; exactly one result follows, at the latest after the timeout. */
    static void send(
            BackendConnectionPool connections,
            XnioIoThread ioThread,
            BackendRequest call,
            boolean onNewConnection,
            BooleanSupplier maySend,
            long timeoutMillis,
            Consumer<Result> onResult) {
        BufferedRequest answer = new BufferedRequest(maySend, onResult);
        answer.timer = ioThread.executeAfter(answer::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
        answer.handle =
                onNewConnection ? connections.sendOnNewConnection(call, answer) : connections.send(call, answer);
    }

    @Override
    public Optional<SendPermit> permitSend() {
        if (finished || !maySend.getAsBoolean()) {
            return Optional.empty();
        }
        sendPermitted = true;
        return Optional.of(new SendPermit(List.of()));
    }

    @Override
    public void onHead(int answerStatus, List<HeaderField> headers) {
        status = answerStatus;
    }

    @Override
    public void onBody(byte[] chunk, Runnable consumed) {
        consumed.run();
        if (body.size() + chunk.length > MAX_ANSWER_BYTES) {
            abandonRequest();
            finish(Result.failed(Attempt.MAY_HAVE_RUN));
            return;
        }
        body.writeBytes(chunk);
    }

    @Override
    public void onEnd() {
        finish(new Result(null, status, body.toByteArray()));
    }

    @Override
    public void onFailed(Attempt known, String detail) {
        finish(Result.failed(known));
    }

    private void onTimeout() {
        if (finished) {
            return;
        }
        abandonRequest();
        finish(Result.failed(sendPermitted ? Attempt.MAY_HAVE_RUN : Attempt.NEVER_SENT));
    }

    private void abandonRequest() {
        if (handle != null) {
            handle.abandon();
        }
    }

    private void finish(Result result) {
        if (finished) {
            return;
        }
        finished = true;
        timer.remove();
        onResult.accept(result);
    }
}
