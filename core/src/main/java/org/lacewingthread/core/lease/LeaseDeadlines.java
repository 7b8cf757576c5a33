package org.lacewingthread.core.lease;

import java.util.Set;
import org.lacewingthread.core.control.ControlSettings;

/**
 * Computes deadlines from lease durations. The clock margin makes the deadline of a grantor later and that of a holder
 * earlier, so that a holder never relies on a lease that its grantor considers expired.
 */
final class LeaseDeadlines {
    private final ControlSettings settings;
    private final boolean addsClockMargin;

    LeaseDeadlines(ControlSettings settings, Set<ProtocolRule> rules) {
        this.settings = settings;
        this.addsClockMargin = rules.contains(ProtocolRule.CLOCK_MARGIN);
    }

    /** Returns the time by which a leader lease granted now has expired for its holder. */
    long grantorLeaderDeadline(long nowMillis) {
        return nowMillis + lengthened(settings.leaderLeaseMillis());
    }

    /** Returns the time until which its holder may rely on a leader lease requested at the given time. */
    long holderLeaderDeadline(long askedAtMillis) {
        return askedAtMillis + shortened(settings.leaderLeaseMillis());
    }

    /** Returns the time until which its holder may rely on a dispatch lease that the leader started by an echo. */
    long holderDispatchDeadline(long repliedAtMillis) {
        return repliedAtMillis + shortened(settings.dispatchLeaseMillis());
    }

    /**
     * Returns the time by which a dispatch lease has expired for its holder and no request sent under it can start.
     *
     * @param receivedAtMillis time at which the leader received the reply that the lease is counted from
     */
    long grantorDispatchDeadline(long receivedAtMillis) {
        return receivedAtMillis + lengthened(settings.dispatchLeaseMillis()) + settings.startByMillis();
    }

    /** Returns the time by which all dispatch and server leases of a leader whose own lease has ended are expired. */
    long predecessorLeaseEnd(long nowMillis) {
        long longest = Math.max(settings.dispatchLeaseMillis(), settings.serverLeaseMillis());
        return nowMillis + lengthened(longest) + settings.startByMillis();
    }

    private long lengthened(long lengthMillis) {
        return addsClockMargin ? settings.lengthenedByClockMargin(lengthMillis) : lengthMillis;
    }

    private long shortened(long lengthMillis) {
        return addsClockMargin ? settings.shortenedByClockMargin(lengthMillis) : lengthMillis;
    }
}
