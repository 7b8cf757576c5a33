package org.lacewingthread.core.ownership;

import java.util.Set;

/** Ends the lease of a move's source, the old owner, on the shard, by an acknowledged release or by expiry. */
final class SourceLeaseRelease {
    private final PlanDraft draft;
    private final ServerDirectory directory;
    private final ServerLeases leases;
    private final Set<SafetyRule> rules;

    SourceLeaseRelease(PlanDraft draft, ServerDirectory directory, ServerLeases leases, Set<SafetyRule> rules) {
        this.draft = draft;
        this.directory = directory;
        this.leases = leases;
        this.rules = rules;
    }

    /** Stops renewing the source's lease on the shard. */
    void stopRenewal(ShardMove move) {
        if (!move.sourceRenewalStopped && directory.mayHoldLease(move.source)) {
            move.sourceLeaseEndMillis = leases.withdraw(move.source, move.shard);
        }
        move.sourceRenewalStopped = true;
    }

    /** Returns whether the source no longer holds a lease on the shard; asks it to release the shard if it might. */
    boolean tryRelease(StepContext step, ShardMove move) {
        boolean mayHoldLease = directory.mayHoldLease(move.source) && rules.contains(SafetyRule.WAIT_FOR_SERVER_LEASE);
        if (!mayHoldLease) {
            move.sourceLeaseEnded = true;
            return true;
        }
        if (step.nowMillis() >= move.sourceLeaseEndMillis || leases.takeReleased(move.source, move.shard)) {
            leases.cancelRelease(move.source, move.shard);
            move.sourceLeaseEnded = true;
            return true;
        }
        if (directory.isAnswering(move.source) && directory.checksTokens(move.source)) {
            if (move.releaseToken == null) {
                move.releaseToken = draft.newToken();
            }
            leases.requestRelease(move.source, move.shard, move.releaseToken);
        }
        return false;
    }

    /** Returns whether a server other than the target may still hold a lease on the shard. */
    boolean mustReleaseSource(ShardMove move) {
        return move.source != null
                && !move.sourceLeaseEnded
                && move.target != null
                && !move.source.equals(move.target)
                && !move.staysInPlace();
    }

    /** Makes the target the new source, because it may hold a lease even if it has not confirmed the grant. */
    void treatTargetAsSource(ShardMove move) {
        move.source = move.target;
        move.sourceRenewalStopped = false;
        move.sourceLeaseEnded = false;
        move.releaseToken = null;
        stopRenewal(move);
        move.grantRequested = false;
        move.stage = ShardMove.Stage.RELEASING;
    }
}
