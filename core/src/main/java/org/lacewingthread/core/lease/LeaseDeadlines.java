package org.lacewingthread.core.lease;

import java.util.Set;
import org.lacewingthread.core.control.ControlSettings;

/** Turns lengths of leases into deadlines, with the clock margin on the safe side. */
final class LeaseDeadlines {
    private final ControlSettings settings;
    private final boolean addsClockMargin;

    LeaseDeadlines(ControlSettings settings, Set<ProtocolRule> rules) {
        this.settings = settings;
        this.addsClockMargin = rules.contains(ProtocolRule.CLOCK_MARGIN);
    }

    /** Returns when a leader lease given now has surely ended. */
    long grantorLeaderDeadline(long nowMillis) {
        return nowMillis + lengthened(settings.leaderLeaseMillis());
    }

    /** Returns until when a leader lease that was asked for at some time may be relied on. */
    long holderLeaderDeadline(long askedAtMillis) {
        return askedAtMillis + shortened(settings.leaderLeaseMillis());
    }

    /** Returns until when a dispatch lease whose start the leader echoed may be relied on. */
    long holderDispatchDeadline(long repliedAtMillis) {
        return repliedAtMillis + shortened(settings.dispatchLeaseMillis());
    }

    /** Returns when the last request sent under a dispatch lease can no longer start, by when its reply came. */
    long grantorDispatchDeadline(long receivedAtMillis) {
        return receivedAtMillis + lengthened(settings.dispatchLeaseMillis()) + settings.startByMillis();
    }

    /** Returns when every dispatch and server lease of a leader whose own lease ended by now has run out. */
    long predecessorLeaseEnd(long nowMillis) {
        long longest = Math.max(settings.dispatchLeaseMillis(), settings.serverLeaseMillis());
        return nowMillis + lengthened(longest) + settings.startByMillis();
    }

    private long lengthened(long lengthMillis) {
        return addsClockMargin ? settings.lengthened(lengthMillis) : lengthMillis;
    }

    private long shortened(long lengthMillis) {
        return addsClockMargin ? settings.shortened(lengthMillis) : lengthMillis;
    }
}
