package org.lacewingthread.core.control;

/** Condition of a backend server as observed by local traffic and probes. */
public enum ServerCondition {
    /** The server answers. */
    REACHABLE(true),
    /** The server answers and reports that it is leaving. */
    LEAVING(true),
    /** The server answers and reports that it is cold: it should get a limited share of the work. */
    COLD(true),
    /** New connections to the server fail or time out. */
    UNREACHABLE(false);

    private final boolean answering;

    ServerCondition(boolean answering) {
        this.answering = answering;
    }

    /** Returns whether the server answers in this condition. */
    public boolean isAnswering() {
        return answering;
    }
}
