package org.lacewingthread.core.dispatch;

/**
 * Load that a server reports about itself.
 *
 * @param running requests that the server runs
 * @param waiting requests in the server's queue
 * @param slots requests that the server can run at the same time
 */
public record LoadReport(int running, int waiting, int slots) {
    /** Checks that no count is negative and that there is a slot. */
    public LoadReport {
        if (running < 0 || waiting < 0 || slots < 1) {
            throw new IllegalArgumentException(
                    "load of " + running + " running, " + waiting + " waiting on " + slots + " slots is not valid");
        }
    }

    /** Returns the number of requests at the server, running and queued. */
    public int total() {
        return running + waiting;
    }
}
