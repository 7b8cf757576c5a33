package org.lacewingthread.core.lease;

/**
 * Rules that guarantee exclusive leadership and exclusive dispatch. Tests omit single rules to show that the safety
 * checks detect the resulting violations.
 */
enum ProtocolRule {
    /** A VM grants its leader lease to one VM at a time. */
    ONE_HOLDER,
    /** Grantors extend the lease duration and holders shorten it to allow for different clock rates. */
    CLOCK_MARGIN,
    /** A new leader waits until all leases that its predecessor granted have expired. */
    WAIT_BEFORE_TAKEOVER,
    /** A lease request under an older roster than that of the grantor is refused. */
    STALE_ROSTER_REFUSED,
    /** A VM does not acknowledge a roster while a lease that it granted under an older roster is unexpired. */
    ACKNOWLEDGEMENT_HELD_BACK,
    /** The roster changes again only after a majority of its members acknowledged the current one. */
    MAJORITY_BEFORE_NEXT_CHANGE
}
