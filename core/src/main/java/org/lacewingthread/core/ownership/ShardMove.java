package org.lacewingthread.core.ownership;

import java.util.List;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.ShardAssignment;

/** One shard on its way from an owner to the next. Only {@link ShardMoves} changes it. */
final class ShardMove {
    /** Why a shard moves. */
    enum Cause {
        /** It has no owner in force yet. */
        NOT_SERVED(false, true),
        /** Its owner is lost. */
        OWNER_LOST(false, true),
        /** Its owner refused its token. */
        TOKEN_REFUSED(false, true),
        /** Its owner is draining, leaving or no longer selected. */
        OWNER_LEAVING(true, true),
        /** It stays, but the log names a newer assignment that was never used. */
        TOKEN_OUTDATED(true, true),
        /** It stays; requests for a key that was split out of it have to end. */
        PAUSED(true, true),
        /** No server of this data centre may own it any more. */
        DATA_CENTRE_LEFT(true, true),
        /** Its owner is overloaded or the target has room. */
        BALANCE(true, false);

        private final boolean servedWhileRecording;
        private final boolean continuesWithoutLog;

        Cause(boolean served, boolean necessary) {
            this.servedWhileRecording = served;
            this.continuesWithoutLog = necessary;
        }

        /** Returns whether the owner goes on serving until the assignment is recorded. */
        boolean isServedWhileRecording() {
            return servedWhileRecording;
        }

        /** Returns whether the move goes on, along the failover list, while the log is out. */
        boolean continuesWithoutLog() {
            return continuesWithoutLog;
        }
    }

    /** What a move waits for. */
    enum Stage {
        /** The assignment to be recorded; the owner still serves. */
        RECORDING,
        /** The dispatchers of the old owner to leave. */
        LEAVING,
        /** The old owner's lease to be released or to expire. */
        RELEASING,
        /** A target, its recorded assignment, and its lease. */
        GRANTING,
        /** The record that lets another data centre adopt it. */
        HANDING_OVER
    }

    final ShardId shard;
    final Cause cause;
    Stage stage;
    /** The owner before the move, or null. */
    ServerId source;
    /** The next owner, or null until one can be chosen. */
    ServerId target;

    FencingToken token;
    List<ServerId> failover = List.of();
    List<DispatcherAssignment.OutgoingDispatcher> outgoingDispatchers = List.of();
    boolean sourceRenewalStopped;
    /** Whether the source's lease was released or ran out; not needed while it is the target as well. */
    boolean sourceLeaseEnded;

    FencingToken releaseToken;
    long sourceLeaseEndMillis = Long.MIN_VALUE;
    /** Before this time some server may hold a lease that an earlier leader gave. */
    long grantNotBeforeMillis = Long.MIN_VALUE;

    /** Whether the target's lease was asked for. */
    boolean grantRequested;

    /** Whether the assignment follows the failover list without a record. */
    boolean provisional;

    ShardMove(ShardId shard, Cause cause, ServerId source, Stage stage) {
        this.shard = shard;
        this.cause = cause;
        this.source = source;
        this.stage = stage;
    }

    boolean staysInPlace() {
        return cause == Cause.TOKEN_OUTDATED;
    }

    ShardAssignment assignment() {
        return new ShardAssignment(shard, target, failover, token);
    }

    RoutePlan.Ownership ownership() {
        return new RoutePlan.Ownership(target, token);
    }
}
