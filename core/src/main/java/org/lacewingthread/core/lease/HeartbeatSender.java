package org.lacewingthread.core.lease;

import java.util.Optional;
import org.lacewingthread.core.control.PeerMessage;
import org.lacewingthread.core.control.PlanUpdate;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.RosterMember;

/** Sends the heartbeats of a leader or candidate to every roster member, including this VM. */
final class HeartbeatSender {
    private static final int REQUESTS_PER_ELECTION = 4;

    private final VmContext context;
    private final HeldLeaderLeases heldLeases;
    private Term lastTerm;
    private long nextMillis = Long.MIN_VALUE;

    HeartbeatSender(VmContext context, HeldLeaderLeases heldLeases) {
        this.context = context;
        this.heldLeases = heldLeases;
    }

    /** Makes the next heartbeats due immediately. */
    void makeDue() {
        nextMillis = Long.MIN_VALUE;
    }

    /** Sends heartbeats to all members if they are due or the term is new. */
    void sendIfDue(Term term, Optional<LeaderTermState> leaderTerm, boolean hasMajority, long nowMillis) {
        if (nowMillis < nextMillis && term.equals(lastTerm)) {
            return;
        }
        lastTerm = term;
        long requestIntervalMillis = Math.max(1, context.settings().electionMillis() / REQUESTS_PER_ELECTION);
        nextMillis = nowMillis + (hasMajority ? context.settings().heartbeatMillis() : requestIntervalMillis);
        long sequence = heldLeases.nextSequence(nowMillis);
        for (RosterMember member : context.roster()) {
            send(member, term, leaderTerm, sequence);
        }
    }

    /** Sends a heartbeat to one member, independently of the interval. */
    void sendTo(VmStart vm, LeaderTermState leaderTerm, long nowMillis) {
        Optional<RosterMember> member = context.rosterMember(vm);
        if (member.isPresent()) {
            send(member.get(), leaderTerm.term(), Optional.of(leaderTerm), heldLeases.nextSequence(nowMillis));
        }
    }

    private void send(RosterMember addressee, Term term, Optional<LeaderTermState> leaderTerm, long sequence) {
        VmStart vm = addressee.start();
        long echoedAtMillis =
                leaderTerm.map(l -> l.ledger().repliedAtMillis(vm)).orElse(-1L);
        long echoedVersion = leaderTerm.map(l -> l.ledger().appliedVersion(vm)).orElse(DispatchLease.NO_VERSION);
        leaderTerm.ifPresent(l -> l.ledger().recordEcho(vm));
        Optional<PlanUpdate> update = leaderTerm.flatMap(l -> l.updateFor(vm));
        context.outbox()
                .send(
                        addressee,
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
