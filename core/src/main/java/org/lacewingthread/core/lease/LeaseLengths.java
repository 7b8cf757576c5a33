package org.lacewingthread.core.lease;

import java.util.Set;
import org.lacewingthread.core.control.ControlSettings;

/** Turns lengths of leases into deadlines, with the clock margin on the safe side. */
final class LeaseLengths {
    private final ControlSettings settings;
    private final boolean margin;

    LeaseLengths(ControlSettings settings, Set<ProtocolRule> rules) {
        this.settings = settings;
        this.margin = rules.contains(ProtocolRule.CLOCK_MARGIN);
    }

    /** Returns when a leader lease given now has surely ended. */
    long leaderGivenUntil(long nowMillis) {
        return nowMillis + lengthened(settings.leaderLeaseMillis());
    }

    /** Returns until when a leader lease that was asked for at some time may be relied on. */
    long leaderHeldUntil(long askedAtMillis) {
        return askedAtMillis + shortened(settings.leaderLeaseMillis());
    }

    /** Returns until when a dispatch lease whose start the leader echoed may be relied on. */
    long dispatchHeldUntil(long repliedAtMillis) {
        return repliedAtMillis + shortened(settings.dispatchLeaseMillis());
    }

    /** Returns when the last request sent under a dispatch lease can no longer start, by when its reply came. */
    long dispatchGivenUntil(long receivedAtMillis) {
        return receivedAtMillis + lengthened(settings.dispatchLeaseMillis()) + settings.startByMillis();
    }

    /** Returns when every dispatch and server lease of a leader whose own lease ended by now has run out. */
    long predecessorEnd(long nowMillis) {
        long longest = Math.max(settings.dispatchLeaseMillis(), settings.serverLeaseMillis());
        return nowMillis + lengthened(longest) + settings.startByMillis();
    }

    private long lengthened(long lengthMillis) {
        return margin ? settings.lengthenedByClockMargin(lengthMillis) : lengthMillis;
    }

    private long shortened(long lengthMillis) {
        return margin ? settings.shortenedByClockMargin(lengthMillis) : lengthMillis;
    }
}
