package org.lacewingthread.core.ownership;

import java.util.List;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.ShardAssignment;

/** State of the move of one shard from its owner to the next. Changed only by {@link ShardMoves} and its helpers. */
final class ShardMove {
    /** Why a shard moves. */
    enum Cause {
        /** It has no owner in the plan yet. */
        NOT_SERVED(false, true),
        /** Its owner is lost. */
        OWNER_LOST(false, true),
        /** Its owner refused its token. */
        TOKEN_REFUSED(false, true),
        /** Its owner is draining, leaving or no longer selected. */
        OWNER_LEAVING(true, true),
        /** It stays with its owner, but the log has a newer assignment that was never used. */
        TOKEN_OUTDATED(true, true),
        /** It stays with its owner; requests for a key that was split out of it must end first. */
        PAUSED(true, true),
        /** No server of this data centre may own it any more. */
        DATA_CENTRE_LEFT(true, true),
        /** Its owner is overloaded or the target has spare capacity. */
        BALANCE(true, false);

        private final boolean servedWhileRecording;
        private final boolean continuesWithoutLog;

        Cause(boolean servedWhileRecording, boolean continuesWithoutLog) {
            this.servedWhileRecording = servedWhileRecording;
            this.continuesWithoutLog = continuesWithoutLog;
        }

        /** Returns whether the owner continues to serve until the new assignment is recorded. */
        boolean isServedWhileRecording() {
            return servedWhileRecording;
        }

        /** Returns whether the move continues along the failover list while the log is unreachable. */
        boolean continuesWithoutLog() {
            return continuesWithoutLog;
        }
    }

    /** What a move waits for. */
    enum Stage {
        /** The assignment to be recorded; the owner still serves. */
        RECORDING,
        /** The source's dispatchers to stop dispatching for it. */
        LEAVING,
        /** The source's lease to be released or to expire. */
        RELEASING,
        /** A target, the record of its assignment and its lease. */
        GRANTING,
        /** The record that lets another data centre adopt the shard. */
        HANDING_OVER
    }

    final ShardId shard;
    final Cause cause;
    Stage stage;
    /** The owner before the move, or null if no server owned the shard. */
    ServerId source;
    /** The next owner, or null until one can be chosen. */
    ServerId target;

    FencingToken token;
    List<ServerId> failover = List.of();
    List<DispatcherAssignment.OutgoingDispatcher> outgoingDispatchers = List.of();
    boolean sourceRenewalStopped;
    /** Whether the source's lease was released or has expired; not needed while it is also the target. */
    boolean sourceLeaseEnded;

    FencingToken releaseToken;
    long sourceLeaseEndMillis = Long.MIN_VALUE;
    /** Time before which some server may still hold a lease granted by an earlier leader. */
    long grantNotBeforeMillis = Long.MIN_VALUE;

    /** Whether the grant of the shard to the target was requested. */
    boolean grantRequested;

    /** Whether the assignment follows the failover list without having been recorded. */
    boolean provisional;

    ShardMove(ShardId shard, Cause cause, ServerId source, Stage stage) {
        this.shard = shard;
        this.cause = cause;
        this.source = source;
        this.stage = stage;
    }

    /** Returns whether the owner remains the same and only its token is renewed. */
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
