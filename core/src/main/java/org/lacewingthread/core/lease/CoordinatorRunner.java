package org.lacewingthread.core.lease;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.PeerMessage.HeartbeatReply;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.ownership.OwnershipActions;
import org.lacewingthread.core.ownership.OwnershipCoordinator;

/** Runs the ownership coordinator of the current term and executes its steps. */
final class CoordinatorRunner {
    /** Limits the steps: a leader of 60 servers handles about 350 events a second, and a step visits every shard. */
    private static final long STEP_INTERVAL_MILLIS = 10;

    private final VmContext context;
    private final HeldLeaderLeases heldLeases;
    private final AppendQueue appendQueue;
    private final HeartbeatSender heartbeatSender;
    private final Function<Term, OwnershipCoordinator> coordinatorFactory;
    private boolean hasLed;
    private long nextStepMillis = Long.MIN_VALUE;
    private Optional<LeaderTermState> leaderTerm = Optional.empty();

    CoordinatorRunner(
            VmContext context,
            HeldLeaderLeases heldLeases,
            AppendQueue appendQueue,
            HeartbeatSender heartbeatSender,
            Function<Term, OwnershipCoordinator> coordinatorFactory) {
        this.context = context;
        this.heldLeases = heldLeases;
        this.appendQueue = appendQueue;
        this.heartbeatSender = heartbeatSender;
        this.coordinatorFactory = coordinatorFactory;
    }

    /** Returns the state of the term in which this VM leads, or empty if it does not lead. */
    Optional<LeaderTermState> leaderTerm() {
        return leaderTerm;
    }

    /**
     * Begins or ends a term according to the election.
     *
     * @param term term in which this VM leads, or empty if it does not lead
     * @param observed server conditions that this VM observed itself
     * @param onFirstRoster whether the roster is the data centre's first, with this VM as its only member, so that
     *     no other VM can have led before
     * @param nowMillis monotonic time
     */
    void updateTerm(
            Optional<Term> term, Map<ServerId, ServerCondition> observed, boolean onFirstRoster, long nowMillis) {
        if (leaderTerm.map(LeaderTermState::term).equals(term)) {
            return;
        }
        appendQueue.cancelOtherTerms(term);
        boolean hasPredecessor = hasLed || !onFirstRoster;
        leaderTerm = term.map(t ->
                new LeaderTermState(context, t, coordinatorFactory.apply(t), heldLeases, hasPredecessor, nowMillis));
        hasLed |= leaderTerm.isPresent();
        leaderTerm.ifPresent(l -> l.recordConditions(observed));
        nextStepMillis = Long.MIN_VALUE;
        heartbeatSender.makeDue();
    }

    /** Records a reply. A reply that reports a newly applied plan is echoed by an immediate heartbeat to the VM. */
    void recordReply(VmStart vm, HeartbeatReply reply, long nowMillis) {
        if (leaderTerm.isEmpty() || !leaderTerm.get().term().equals(reply.term()) || !reply.granted()) {
            return;
        }
        if (leaderTerm.get().recordReply(vm, reply, nowMillis)) {
            heartbeatSender.sendTo(vm, leaderTerm.get(), nowMillis);
        }
    }

    /** Records server conditions that a dispatcher observed. */
    void recordConditions(Map<ServerId, ServerCondition> conditions) {
        leaderTerm.ifPresent(l -> l.recordConditions(conditions));
    }

    /** Passes a server's answer to an order on to the coordinator. */
    void orderAnswered(ServerId server, long sequence, boolean accepted, long nowMillis) {
        leaderTerm.ifPresent(l -> l.coordinator().orderAnswered(server, sequence, accepted, nowMillis));
    }

    /** Passes the failure of an order on to the coordinator. */
    void orderFailed(ServerId server, long sequence, long nowMillis) {
        leaderTerm.ifPresent(l -> l.coordinator().orderFailed(server, sequence, nowMillis));
    }

    /** Runs the next step of the coordinator if it is due. */
    void advance(Set<VmStart> leaving, boolean logReachable, long nowMillis) {
        if (leaderTerm.isEmpty() || nowMillis < nextStepMillis) {
            return;
        }
        nextStepMillis = nowMillis + STEP_INTERVAL_MILLIS;
        LeaderTermState state = leaderTerm.get();
        OwnershipActions step =
                state.coordinator().step(state.ownershipInputs(leaving, logReachable, nowMillis), nowMillis);
        step.plan().ifPresent(plan -> {
            state.replacePlan(plan);
            heartbeatSender.makeDue();
        });
        for (LogRecord record : step.records()) {
            appendQueue.add(record, Optional.of(state.term()));
        }
        // The expiry that the coordinator assumes for an order allows for a delay of startByMillis before it is read.
        long deadlineMillis = Math.min(
                heldLeases.majorityDeadline(context.roster()),
                nowMillis + context.settings().startByMillis());
        for (ServerOrder order : step.orders()) {
            context.outbox().add(new ControlAction.SendToServer(order, deadlineMillis));
        }
        step.auditNotes().forEach(note -> context.outbox().audit("provisional-step", note));
    }
}
