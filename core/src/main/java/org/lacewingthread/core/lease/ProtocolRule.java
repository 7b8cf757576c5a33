package org.lacewingthread.core.lease;

/** Rules on which exclusive leadership and dispatch rest; tests leave one out to show that their checks notice. */
enum ProtocolRule {
    /** A VM gives its leader lease to one VM at a time. */
    ONE_HOLDER,
    /** Givers count leases longer, holders shorter. */
    CLOCK_MARGIN,
    /** A new leader waits until every lease of its predecessor has run out. */
    WAIT_BEFORE_TAKEOVER,
    /** An asker that knows an older roster is refused. */
    STALE_ROSTER_REFUSED,
    /** A roster is not acknowledged while a lease that was asked for under an older one runs. */
    ACKNOWLEDGEMENT_HELD_BACK,
    /** The roster changes again only when a majority acknowledged the present one. */
    MAJORITY_BEFORE_NEXT_CHANGE
}
