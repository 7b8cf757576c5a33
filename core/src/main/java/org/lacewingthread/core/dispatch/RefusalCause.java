package org.lacewingthread.core.dispatch;

import org.lacewingthread.core.traffic.ResultCode;

/** Reason for which a request is refused instead of being sent. */
public enum RefusalCause {
    /** No server can answer the request before its deadline. */
    OVERLOADED,
    /** The key has no owner or is moving to another one, and this did not end in time for the request's target. */
    NO_OWNER,
    /** The owner of the key has left or was replaced, and no other server has taken over yet. */
    OWNER_GONE,
    /** Connections to the owner of the key currently fail, or to all servers of a service without keys. */
    OWNER_UNREACHABLE,
    /** This entry VM reaches no server at all. */
    CUT_OFF,
    /** The service has no server that accepts new requests. */
    NO_SERVER,
    /** The server that can run the request named a limit, which is used up. */
    LIMITED,
    /** Each server that can run the request wants no requests of this entry VM for a while. */
    RESTING,
    /** The servers that could run the request are in evacuated data centres. */
    EVACUATED,
    /** The view of the registry, or of the evacuated data centres, is too old to tell which servers take requests. */
    REGISTRY_OUTDATED,
    /** The deadline passed while the request waited. */
    DEADLINE_PASSED;

    /** Returns the code that a caller gets. */
    public ResultCode resultCode() {
        return switch (this) {
            case OVERLOADED, LIMITED, RESTING, DEADLINE_PASSED -> ResultCode.OVERLOADED;
            case NO_OWNER, OWNER_GONE -> ResultCode.NO_OWNER;
            case OWNER_UNREACHABLE, NO_SERVER, REGISTRY_OUTDATED, EVACUATED -> ResultCode.OWNER_UNREACHABLE;
            case CUT_OFF -> ResultCode.SERVERS_UNREACHABLE;
        };
    }

    /** Returns whether another entry VM may be able to send the request, since only links of this one are the cause. */
    public boolean mayBeSentByOthers() {
        return this == OWNER_UNREACHABLE || this == CUT_OFF;
    }

    /** Returns whether servers exist that could run the request and get none, for an evacuation or for lack of news. */
    public boolean isWithheld() {
        return this == EVACUATED || this == REGISTRY_OUTDATED;
    }
}
