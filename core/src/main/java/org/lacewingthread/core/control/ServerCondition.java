package org.lacewingthread.core.control;

/** What local traffic and probes observe of a backend server. */
public enum ServerCondition {
    /** It answers. */
    REACHABLE(true),
    /** It answers and says that it is leaving. */
    LEAVING(true),
    /** It answers and says that it is cold: it should get a limited share of work. */
    COLD(true),
    /** New connections fail or stay unanswered. */
    UNREACHABLE(false);

    private final boolean answering;

    ServerCondition(boolean answering) {
        this.answering = answering;
    }

    /** Returns whether the server answers at all. */
    public boolean isAnswering() {
        return answering;
    }
}
