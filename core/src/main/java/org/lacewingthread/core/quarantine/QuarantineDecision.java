package org.lacewingthread.core.quarantine;

/** What may be done with a copy of a request. */
public enum QuarantineDecision {
    /** Nothing speaks against sending it. */
    SEND,
    /** It may be sent as the only copy, once {@link RequestQuarantine#beginTrial} has been called. */
    TRY,
    /** Another copy is being tried; its result is awaited. */
    WAIT,
    /** A trial of the rejected request is due; it has to be reserved first, so that no other entry VM makes it too. */
    RESERVE_TRIAL,
    /** It is kept from all servers. */
    REJECT
}
