package org.lacewingthread.core.ownership;

import java.util.Set;

/** Ends the lease that the old owner of a moving shard holds, by an acknowledged release or by expiry. */
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

    /** Returns whether the source holds no lease on the shard any more, and asks it for the release if it may. */
    boolean tryRelease(StepContext step, ShardMove move) {
        boolean bound = directory.mayHoldLease(move.source) && rules.contains(SafetyRule.WAIT_FOR_SERVER_LEASE);
        if (!bound) {
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

    /** Returns whether another server than the target may still hold a lease on the shard. */
    boolean mustReleaseSource(ShardMove move) {
        return move.source != null
                && !move.sourceLeaseEnded
                && move.target != null
                && !move.source.equals(move.target)
                && !move.staysInPlace();
    }

    /** Counts the target as holding a lease, whether it said so or not. */
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
