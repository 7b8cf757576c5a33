package org.lacewingthread.daemon.peer;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.ResponseSink;

/** Records the response, or the failure, of one request. */
final class RecordingSink implements ResponseSink {
    final List<String> body = new CopyOnWriteArrayList<>();
    volatile int status;
    volatile boolean ended;
    volatile Failure failure;

    @Override
    public boolean isAbandoned() {
        return false;
    }

    @Override
    public void onHead(ResponseStatus newStatus, List<HeaderField> headers) {
        status = newStatus.httpStatus();
    }

    @Override
    public void onBody(byte[] chunk, Runnable consumed) {
        body.add(new String(chunk, StandardCharsets.UTF_8));
        consumed.run();
    }

    @Override
    public void onEnd() {
        ended = true;
    }

    @Override
    public void onFailure(Failure newFailure) {
        failure = newFailure;
    }
}
