package org.lacewingthread.core.lease;

import java.util.Optional;
import org.lacewingthread.core.control.PeerMessage;
import org.lacewingthread.core.control.PlanUpdate;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.RosterMember;

/** Sends a leader's or candidate's heartbeats to every member of the roster, this VM included. */
final class HeartbeatSender {
    private static final int REQUESTS_PER_ELECTION = 4;

    private final VmContext context;
    private final HeldLeaderLeases heldLeases;
    private Term lastTerm;
    private long nextMillis = Long.MIN_VALUE;

    HeartbeatSender(VmContext context, HeldLeaderLeases held) {
        this.context = context;
        this.heldLeases = held;
    }

    /** Makes the next heartbeat due at once. */
    void makeDue() {
        nextMillis = Long.MIN_VALUE;
    }

    /** Sends heartbeats to all members if they are due or the term is new. */
    void sendIfDue(Term term, Optional<LeaderTermState> leading, boolean hasMajority, long nowMillis) {
        if (nowMillis < nextMillis && term.equals(lastTerm)) {
            return;
        }
        lastTerm = term;
        long askMillis = Math.max(1, context.settings().electionMillis() / REQUESTS_PER_ELECTION);
        nextMillis = nowMillis + (hasMajority ? context.settings().heartbeatMillis() : askMillis);
        long sequence = heldLeases.nextSequence(nowMillis);
        for (RosterMember member : context.roster()) {
            send(member, term, leading, sequence);
        }
    }

    /** Sends one member a heartbeat out of turn. */
    void sendTo(VmStart vm, LeaderTermState leading, long nowMillis) {
        Optional<RosterMember> member = context.rosterMember(vm);
        if (member.isPresent()) {
            send(member.get(), leading.term(), Optional.of(leading), heldLeases.nextSequence(nowMillis));
        }
    }

    private void send(RosterMember to, Term term, Optional<LeaderTermState> leading, long sequence) {
        VmStart vm = to.start();
        long echoedAtMillis = leading.map(l -> l.ledger().repliedAtMillis(vm)).orElse(-1L);
        long echoedVersion = leading.map(l -> l.ledger().appliedVersion(vm)).orElse(DispatchLease.NO_VERSION);
        leading.ifPresent(l -> l.ledger().recordEcho(vm));
        Optional<PlanUpdate> update = leading.flatMap(l -> l.updateFor(vm));
        context.outbox()
                .send(
                        to,
                        new PeerMessage.Heartbeat(
                                context.identity().dataCentre(),
                                term,
                                context.dataCentre().rosterRevision(),
                                sequence,
                                echoedAtMillis,
                                echoedVersion,
                                context.state().appliedOffset(),
                                update));
    }
}
