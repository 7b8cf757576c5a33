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

/** Runs the ownership coordinator of the present term and carries out its steps. */
final class LeaderDuties {
    /** A leader of 60 servers takes in some 350 events a second; each step looks at every shard. */
    private static final long STEP_INTERVAL_MILLIS = 10;

    private final VmContext context;
    private final HeldLeases leases;
    private final AppendQueue appends;
    private final Heartbeats heartbeats;
    private final Function<Term, OwnershipCoordinator> coordinators;
    private boolean hasLed;
    private long nextStepMillis = Long.MIN_VALUE;
    private Optional<LeaderTerm> leading = Optional.empty();

    LeaderDuties(
            VmContext context,
            HeldLeases leases,
            AppendQueue appends,
            Heartbeats heartbeats,
            Function<Term, OwnershipCoordinator> coordinators) {
        this.context = context;
        this.leases = leases;
        this.appends = appends;
        this.heartbeats = heartbeats;
        this.coordinators = coordinators;
    }

    /** Returns the term in which this VM leads, if it does. */
    Optional<LeaderTerm> leading() {
        return leading;
    }

    /**
     * Begins or ends a term as the election decided.
     *
     * @param onFirstRoster whether the roster is the data centre's first, with this VM alone: nobody else can
     *     have led before
     */
    void follow(Optional<Term> term, Map<ServerId, ServerCondition> observed, boolean onFirstRoster, long nowMillis) {
        if (leading.map(LeaderTerm::term).equals(term)) {
            return;
        }
        appends.keepOnly(term);
        boolean hasPredecessor = hasLed || !onFirstRoster;
        leading = term.map(t -> new LeaderTerm(context, t, coordinators.apply(t), leases, hasPredecessor, nowMillis));
        hasLed |= leading.isPresent();
        leading.ifPresent(l -> l.observed(observed));
        nextStepMillis = Long.MIN_VALUE;
        heartbeats.hurry();
    }

    /** Takes in a reply; one that states a newly applied plan is echoed at once. */
    void replied(VmStart vm, HeartbeatReply reply, long nowMillis) {
        if (leading.isEmpty() || !leading.get().term().equals(reply.term()) || !reply.granted()) {
            return;
        }
        if (leading.get().replied(vm, reply, nowMillis)) {
            heartbeats.sendTo(vm, leading.get(), nowMillis);
        }
    }

    void observed(Map<ServerId, ServerCondition> conditions) {
        leading.ifPresent(l -> l.observed(conditions));
    }

    void orderAnswered(ServerId server, long sequence, boolean accepted, long nowMillis) {
        leading.ifPresent(l -> l.coordinator().orderAnswered(server, sequence, accepted, nowMillis));
    }

    void orderFailed(ServerId server, long sequence, long nowMillis) {
        leading.ifPresent(l -> l.coordinator().orderFailed(server, sequence, nowMillis));
    }

    /** Lets the coordinator decide. */
    void advance(Set<VmStart> leaving, boolean logReachable, long nowMillis) {
        if (leading.isEmpty() || nowMillis < nextStepMillis) {
            return;
        }
        nextStepMillis = nowMillis + STEP_INTERVAL_MILLIS;
        LeaderTerm leader = leading.get();
        OwnershipActions step = leader.coordinator().step(leader.inputs(leaving, logReachable, nowMillis), nowMillis);
        step.plan().ifPresent(plan -> {
            leader.replacePlan(plan);
            heartbeats.hurry();
        });
        for (LogRecord record : step.records()) {
            appends.add(record, Optional.of(leader.term()));
        }
        long deadlineMillis = leases.majorityUntil(context.roster());
        for (ServerOrder order : step.orders()) {
            context.outbox().add(new ControlAction.SendToServer(order, deadlineMillis));
        }
        step.auditNotes().forEach(note -> context.outbox().audit("provisional-step", note));
    }
}
