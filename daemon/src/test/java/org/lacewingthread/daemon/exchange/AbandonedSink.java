package org.lacewingthread.daemon.exchange;

import java.util.List;
import org.lacewingthread.core.traffic.ResponseStatus;

/** The sink of a request for whose response nobody waits. */
public final class AbandonedSink implements ResponseSink {
    @Override
    public boolean isAbandoned() {
        return true;
    }

    @Override
    public void onHead(ResponseStatus status, List<HeaderField> headers) {}

    @Override
    public void onBody(byte[] chunk, Runnable consumed) {
        consumed.run();
    }

    @Override
    public void onEnd() {}

    @Override
    public void onFailure(Failure failure) {}
}
