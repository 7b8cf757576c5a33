package org.lacewingthread.core.dispatch;

/** How sending a request to a server ended. */
public enum AttemptResult {
    /** A whole answer. */
    ANSWERED(true, false),
    /** The server answered with a failure of its own. */
    SERVER_FAILED(true, true),
    /** The server was full and did not run it. */
    REJECTED(false, false),
    /** The server does not own the key; it did not run it. */
    MISDIRECTED(false, false),
    /** Another server has the address; it did not run it. */
    REPLACED(false, false),
    /** It was not sent, because no connection could be made. */
    NOT_SENT(false, true),
    /** The connection broke, or the answer was not usable. */
    BROKEN(false, true),
    /** No answer in time, or nobody waits for it any more. */
    ABANDONED(false, false);

    private final boolean hasServiceTime;
    private final boolean countsAsFailure;

    AttemptResult(boolean timed, boolean suspicious) {
        this.hasServiceTime = timed;
        this.countsAsFailure = suspicious;
    }

    /** Tells whether its duration says how fast the server is. */
    public boolean hasServiceTime() {
        return hasServiceTime;
    }

    /** Tells whether it speaks against the server's health. */
    public boolean countsAsFailure() {
        return countsAsFailure;
    }
}
