package org.lacewingthread.core.dispatch;

/**
 * A limit that a server named in a response: how many requests it takes from all entry VMs together.
 *
 * @param perSecond requests a second
 */
public record NamedLimit(double perSecond) {
    /** Checks that the limit is a number and not negative. */
    public NamedLimit {
        if (!(perSecond >= 0) || Double.isInfinite(perSecond)) {
            throw new IllegalArgumentException(
                    "limit of " + perSecond + " requests a second is not valid; use a number of 0 or more");
        }
    }
}
