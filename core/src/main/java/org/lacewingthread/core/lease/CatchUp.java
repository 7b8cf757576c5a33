package org.lacewingthread.core.lease;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.lacewingthread.core.control.PeerMessage;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.log.RosterMember;

/** Gets records from other entry VMs while the log can't be read, and passes them on between data centres. */
final class CatchUp {
    private static final long WANTED_RETRY_MILLIS = 100;
    private static final long PROGRESS_MILLIS = 500;

    private final VmContext context;
    private final LogReading log;
    private final RecentRecords recent;
    private LogOffset highestHeard = LogOffset.NONE;
    private boolean peerAnswered;
    private long nextWantedMillis = Long.MIN_VALUE;
    private long nextSeedMillis = Long.MIN_VALUE;
    private long nextProgressMillis = Long.MIN_VALUE;
    private int nextPeer;

    CatchUp(VmContext context, LogReading log, RecentRecords recent) {
        this.context = context;
        this.log = log;
        this.recent = recent;
    }

    /** Returns whether the state reached the highest offset that the log or a peer told of. */
    boolean isCurrent() {
        LogOffset applied = context.state().appliedOffset();
        boolean reachedPeers = peerAnswered && !highestHeard.isAfter(applied);
        return log.reachedEnd() || reachedPeers;
    }

    /** Takes in how far a peer is; asks it for what can't be read from the log. */
    void heard(RosterMember peer, LogOffset appliedOffset, boolean logReachable, long nowMillis) {
        if (appliedOffset.isAfter(highestHeard)) {
            highestHeard = appliedOffset;
        }
        LogOffset applied = context.state().appliedOffset();
        if ((logReachable && !log.hasGap()) || nowMillis < nextWantedMillis || !appliedOffset.isAfter(applied)) {
            return;
        }
        nextWantedMillis = nowMillis + WANTED_RETRY_MILLIS;
        context.outbox().send(peer, new PeerMessage.LogRecordsWanted(applied.next()));
    }

    /** Hands on records. */
    void wanted(RosterMember peer, LogOffset from) {
        context.outbox().send(peer, recent.offerFrom(from));
    }

    /** Applies records from a peer. */
    void offered(Optional<RosterMember> peer, PeerMessage.LogRecordsOffered offer, boolean logReachable, long now) {
        peerAnswered = true;
        for (LogEntry entry : offer.entries()) {
            log.applyHandedOn(entry);
        }
        nextWantedMillis = Long.MIN_VALUE;
        peer.ifPresent(p -> heard(p, offer.endOffset(), logReachable, now));
    }

    /** Reports progress to other data centres if this VM leads, and asks seeds if nothing else is known. */
    void advance(boolean leading, boolean logReachable, long nowMillis) {
        if (leading && nowMillis >= nextProgressMillis) {
            nextProgressMillis = nowMillis + PROGRESS_MILLIS;
            reportProgress();
        }
        if (!isCurrent() && (!logReachable || log.hasGap()) && nowMillis >= nextSeedMillis) {
            nextSeedMillis = nowMillis + PROGRESS_MILLIS;
            context.identity().seeds().stream()
                    .filter(s -> !s.start().vm().equals(context.self().vm()))
                    .forEach(this::askSeed);
        }
    }

    /** Tells a seed this VM's address, then asks it for records. */
    private void askSeed(RosterMember seed) {
        EntryVmIdentity identity = context.identity();
        context.outbox()
                .send(seed, new PeerMessage.MembershipRequested(identity.dataCentre(), identity.member(), false));
        LogOffset next = context.state().appliedOffset().next();
        context.outbox().send(seed, new PeerMessage.LogRecordsWanted(next));
    }

    private void reportProgress() {
        ReplicaState state = context.state();
        DataCentreId own = context.identity().dataCentre();
        PeerMessage report =
                new PeerMessage.ProgressReported(own, state.appliedOffset(), state.configurationRevision());
        nextPeer++;
        new TreeMap<>(state.dataCentres()).forEach((id, dataCentre) -> {
            List<RosterMember> members = dataCentre.members();
            if (id.equals(own) || members.isEmpty()) {
                return;
            }
            RosterMember turn = members.get(nextPeer % members.size());
            context.outbox().send(turn, report);
            Optional.ofNullable(dataCentre.claimant())
                    .flatMap(dataCentre::member)
                    .filter(m -> !m.equals(turn))
                    .ifPresent(m -> context.outbox().send(m, report));
        });
    }
}
