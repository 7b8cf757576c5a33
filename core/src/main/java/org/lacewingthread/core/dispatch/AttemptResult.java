package org.lacewingthread.core.dispatch;

/** Result of one attempt to have a server run a request. */
public enum AttemptResult {
    /** The server sent a complete response. */
    ANSWERED(true, false, false),
    /** The server sent a response that reports a failure of the server. */
    SERVER_FAILED(true, true, false),
    /** The server was full and did not run the request. */
    REJECTED(false, false, true),
    /** The server does not own the key and did not run the request. */
    MISDIRECTED(false, false, true),
    /** Another server now listens at the address; it did not run the request. */
    REPLACED(false, false, true),
    /** The request was not sent, because no connection could be opened. */
    NOT_SENT(false, true, true),
    /** The request was not sent, because its connection was reset while it was idle; the server may still take others. */
    UNWRITTEN(false, false, true),
    /** The request was not sent, because the decision no longer held when its connection was open. */
    WITHHELD(false, false, true),
    /** The connection failed during the attempt, or the response was unusable. */
    BROKEN(false, true, false),
    /** The attempt timed out, or its caller no longer waits for it. */
    ABANDONED(false, false, false);

    private final boolean hasServiceTime;
    private final boolean countsAsFailure;
    private final boolean provesNotRun;

    AttemptResult(boolean hasServiceTime, boolean countsAsFailure, boolean provesNotRun) {
        this.hasServiceTime = hasServiceTime;
        this.countsAsFailure = countsAsFailure;
        this.provesNotRun = provesNotRun;
    }

    /** Returns whether the duration of the attempt is a sample of the server's service time. */
    public boolean hasServiceTime() {
        return hasServiceTime;
    }

    /** Returns whether the result counts as a failure of the server's health. */
    public boolean countsAsFailure() {
        return countsAsFailure;
    }

    /**
     * Returns whether the server may have run the request, or may run it later.
     *
     * @param sent whether the server may have received a part of it, which matters for an abandoned attempt only
     */
    public boolean mayHaveRun(boolean sent) {
        return this == ABANDONED ? sent : !provesNotRun;
    }

    /** Returns whether the server answered that it did not run the request. */
    public boolean isRefusedByServer() {
        return this == REJECTED || this == MISDIRECTED || this == REPLACED;
    }
}
