package org.lacewingthread.daemon.backend;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.lacewingthread.core.traffic.RetryDecision.FailedAttempt;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Internal request, such as a probe or an order, with a timeout and a small response that is buffered
 * completely. Confined to one I/O thread.
 */
final class BufferedRequest implements BackendResponseHandler {
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;

    private final BooleanSupplier maySend;
    private final Consumer<Result> onResult;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private BackendConnectionPool.Handle handle;
    private XnioExecutor.Key timer = XnioExecutor.Key.IMMEDIATE;
    private boolean sendPermitted;
    private boolean finished;
    private int status;

    /**
     * Outcome of a request.
     *
     * @param failure what is known about the execution if there is no complete response, otherwise null
     * @param status HTTP status of the response
     * @param body body of the response; must not be modified
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Result(FailedAttempt failure, int status, byte[] body) {
        boolean isAnswered() {
            return failure == null;
        }

        static Result failed(FailedAttempt attempt) {
            return new Result(attempt, 0, new byte[0]);
        }
    }

    private BufferedRequest(BooleanSupplier maySend, Consumer<Result> onResult) {
        this.maySend = maySend;
        this.onResult = onResult;
    }

    /** Sends a request. {@code onResult} is called exactly once, at the latest after the timeout. */
    static void send(
            BackendConnectionPool pool,
            XnioIoThread ioThread,
            BackendRequest request,
            boolean onNewConnection,
            BooleanSupplier maySend,
            long timeoutMillis,
            Consumer<Result> onResult) {
        BufferedRequest buffered = new BufferedRequest(maySend, onResult);
        buffered.timer = ioThread.executeAfter(buffered::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
        buffered.handle = onNewConnection ? pool.sendOnNewConnection(request, buffered) : pool.send(request, buffered);
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
    public void onHead(int responseStatus, List<HeaderField> headers) {
        status = responseStatus;
    }

    @Override
    public void onBody(byte[] chunk, Runnable consumed) {
        consumed.run();
        if (body.size() + chunk.length > MAX_RESPONSE_BYTES) {
            abandonRequest();
            finish(Result.failed(FailedAttempt.MAY_HAVE_RUN));
            return;
        }
        body.writeBytes(chunk);
    }

    @Override
    public void onEnd() {
        finish(new Result(null, status, body.toByteArray()));
    }

    @Override
    public void onFailed(FailedAttempt attempt, String detail) {
        finish(Result.failed(attempt));
    }

    private void onTimeout() {
        if (finished) {
            return;
        }
        abandonRequest();
        finish(Result.failed(sendPermitted ? FailedAttempt.MAY_HAVE_RUN : FailedAttempt.NEVER_SENT));
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
