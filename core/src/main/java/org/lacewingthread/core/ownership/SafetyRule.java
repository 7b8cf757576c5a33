package org.lacewingthread.core.ownership;

/** Rules that keep ownership exclusive and durable. Tests leave one out to show that their checks notice. */
enum SafetyRule {
    /** A shard or server gets another dispatcher only after the old one has left. */
    WAIT_FOR_DISPATCHER,
    /** A shard leaves a server that checks tokens only by an acknowledged release or expiry. */
    WAIT_FOR_SERVER_LEASE,
    /** A server gets no second order while one is unanswered. */
    ONE_ORDER_AT_A_TIME,
    /** An order that failed counts as if it had taken effect. */
    COUNT_FAILED_ORDERS,
    /** What no member reports as held waits until every permission of the predecessor ran out. */
    WAIT_FOR_PREDECESSOR,
    /** With the log reachable an assignment is used only after it was read back. */
    RECORD_BEFORE_USE,
    /** Steps taken while the log was out are recorded before anything else. */
    PROVISIONAL_FIRST,
    /** A split-out key parts from its shard only after the requests sent as part of the shard ended. */
    SEPARATE_SPLIT_KEYS
}
