package org.lacewingthread.core.dispatch;

import java.util.OptionalDouble;

/**
 * Load that a server reports about itself.
 *
 * @param running requests that the server runs
 * @param waiting requests in the server's queue
 * @param slots requests that the server can run at the same time
 * @param slowdown how many times as long as usual work takes on the server at this moment; empty if it doesn't say
 */
public record LoadReport(int running, int waiting, int slots, OptionalDouble slowdown) {
    /** Checks that no count is negative, that there is a slot, and that the slowdown is above 0. */
    public LoadReport {
        if (running < 0 || waiting < 0 || slots < 1) {
            throw new IllegalArgumentException(
                    "load of " + running + " running, " + waiting + " waiting on " + slots + " slots is not valid");
        }
        if (slowdown.isPresent() && !(slowdown.getAsDouble() > 0)) {
            throw new IllegalArgumentException(
                    "slowdown of " + slowdown.getAsDouble() + " is not valid; use a number above 0");
        }
    }

    /** Creates the report of a server that doesn't say how slow it is. */
    public LoadReport(int running, int waiting, int slots) {
        this(running, waiting, slots, OptionalDouble.empty());
    }

    /** Returns the number of requests at the server, running and queued. */
    public int total() {
        return running + waiting;
    }
}
