package org.lacewingthread.core.dispatch;

/**
 * Load that a server tells of itself.
 *
 * @param running requests that it runs
 * @param waiting requests in its queue
 * @param slots requests that it can run at the same time
 */
public record LoadReport(int running, int waiting, int slots) {
    /** Checks that the counts make sense. */
    public LoadReport {
        if (running < 0 || waiting < 0 || slots < 1) {
            throw new IllegalArgumentException(
                    "load of " + running + " running, " + waiting + " waiting on " + slots + " slots is not valid");
        }
    }

    /** Returns the requests at the server. */
    public int total() {
        return running + waiting;
    }
}
