package org.lacewingthread.core.ownership;

/** Rules that keep ownership exclusive and durable. Tests omit single rules to prove that their checks detect it. */
enum SafetyRule {
    /** A shard or server gets another dispatcher only after the old one has stopped dispatching. */
    WAIT_FOR_DISPATCHER,
    /** A shard leaves a server that checks tokens only after an acknowledged release or the expiry of its lease. */
    WAIT_FOR_SERVER_LEASE,
    /** A server gets no further order while one is unanswered. */
    ONE_ORDER_AT_A_TIME,
    /** An order that failed counts as if it had taken effect. */
    COUNT_FAILED_ORDERS,
    /** A shard that no member reports as owned waits until every lease granted by earlier leaders has expired. */
    WAIT_FOR_PREDECESSOR,
    /** While the log is reachable, an assignment is used only after it has been read back. */
    RECORD_BEFORE_USE,
    /** Moves made while the log was unreachable are recorded before any other assignment. */
    PROVISIONAL_FIRST,
    /** A split key moves apart from its base shard only after requests sent as part of that shard have ended. */
    SEPARATE_SPLIT_KEYS
}
