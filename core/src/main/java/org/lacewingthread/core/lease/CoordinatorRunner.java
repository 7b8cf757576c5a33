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
import org.lacewingthread.core.ownership.OwnershipCoordinator;
import org.lacewingthread.core.ownership.OwnershipStep;

/** Runs the ownership coordinator of the present term and carries out its steps. */
final class CoordinatorRunner {
    /** A leader of 60 servers takes in some 350 events a second; each step looks at every shard. */
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
            HeldLeaderLeases leases,
            AppendQueue appends,
            HeartbeatSender heartbeats,
            Function<Term, OwnershipCoordinator> coordinators) {
        this.context = context;
        this.heldLeases = leases;
        this.appendQueue = appends;
        this.heartbeatSender = heartbeats;
        this.coordinatorFactory = coordinators;
    }

    /** Returns the term in which this VM leads, if it does. */
    Optional<LeaderTermState> leaderTerm() {
        return leaderTerm;
    }

    /**
     * Begins or ends a term as the election decided.
     *
     * @param onFirstRoster whether the roster is the data centre's first, with this VM alone: nobody else can
     *     have led before
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

    /** Takes in a reply; one that states a newly applied plan is echoed at once. */
    void recordReply(VmStart vm, HeartbeatReply reply, long nowMillis) {
        if (leaderTerm.isEmpty() || !leaderTerm.get().term().equals(reply.term()) || !reply.granted()) {
            return;
        }
        if (leaderTerm.get().recordReply(vm, reply, nowMillis)) {
            heartbeatSender.sendTo(vm, leaderTerm.get(), nowMillis);
        }
    }

    void recordConditions(Map<ServerId, ServerCondition> conditions) {
        leaderTerm.ifPresent(l -> l.recordConditions(conditions));
    }

    void orderAnswered(ServerId server, long sequence, boolean accepted, long nowMillis) {
        leaderTerm.ifPresent(l -> l.coordinator().orderAnswered(server, sequence, accepted, nowMillis));
    }

    void orderFailed(ServerId server, long sequence, long nowMillis) {
        leaderTerm.ifPresent(l -> l.coordinator().orderFailed(server, sequence, nowMillis));
    }

    /** Lets the coordinator decide. */
    void advance(Set<VmStart> leaving, boolean logReachable, long nowMillis) {
        if (leaderTerm.isEmpty() || nowMillis < nextStepMillis) {
            return;
        }
        nextStepMillis = nowMillis + STEP_INTERVAL_MILLIS;
        LeaderTermState leader = leaderTerm.get();
        OwnershipStep step =
                leader.coordinator().step(leader.ownershipInputs(leaving, logReachable, nowMillis), nowMillis);
        step.plan().ifPresent(plan -> {
            leader.replacePlan(plan);
            heartbeatSender.makeDue();
        });
        for (LogRecord record : step.records()) {
            appendQueue.add(record, Optional.of(leader.term()));
        }
        long deadlineMillis = heldLeases.majorityDeadline(context.roster());
        for (ServerOrder order : step.orders()) {
            context.outbox().add(new ControlAction.SendToServer(order, deadlineMillis));
        }
        step.notes().forEach(note -> context.outbox().audit("provisional-step", note));
    }
}
