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
final class PeerCatchUp {
    private static final long REQUEST_RETRY_MILLIS = 100;
    private static final long PROGRESS_INTERVAL_MILLIS = 500;

    private final VmContext context;
    private final LogPoller logPoller;
    private final RecentRecordCache recentRecords;
    private LogOffset highestPeerOffset = LogOffset.NONE;
    private boolean peerAnswered;
    private long nextRequestMillis = Long.MIN_VALUE;
    private long nextSeedRequestMillis = Long.MIN_VALUE;
    private long nextProgressMillis = Long.MIN_VALUE;
    private int nextPeer;

    PeerCatchUp(VmContext context, LogPoller log, RecentRecordCache recent) {
        this.context = context;
        this.logPoller = log;
        this.recentRecords = recent;
    }

    /** Returns whether the state reached the highest offset that the log or a peer told of. */
    boolean isCaughtUp() {
        LogOffset applied = context.state().appliedOffset();
        boolean reachedPeers = peerAnswered && !highestPeerOffset.isAfter(applied);
        return logPoller.reachedEnd() || reachedPeers;
    }

    /** Takes in how far a peer is; asks it for what can't be read from the log. */
    void recordPeerProgress(RosterMember peer, LogOffset appliedOffset, boolean logReachable, long nowMillis) {
        if (appliedOffset.isAfter(highestPeerOffset)) {
            highestPeerOffset = appliedOffset;
        }
        LogOffset applied = context.state().appliedOffset();
        if ((logReachable && !logPoller.hasGap()) || nowMillis < nextRequestMillis || !appliedOffset.isAfter(applied)) {
            return;
        }
        nextRequestMillis = nowMillis + REQUEST_RETRY_MILLIS;
        context.outbox().send(peer, new PeerMessage.LogRecordsWanted(applied.next()));
    }

    /** Hands on records. */
    void sendRecords(RosterMember peer, LogOffset from) {
        context.outbox().send(peer, recentRecords.offerFrom(from));
    }

    /** Applies records from a peer. */
    void applyOffered(
            Optional<RosterMember> peer, PeerMessage.LogRecordsOffered offer, boolean logReachable, long now) {
        peerAnswered = true;
        for (LogEntry entry : offer.entries()) {
            logPoller.applyFromPeer(entry);
        }
        nextRequestMillis = Long.MIN_VALUE;
        peer.ifPresent(p -> recordPeerProgress(p, offer.endOffset(), logReachable, now));
    }

    /** Reports progress to other data centres if this VM leads, and asks seeds if nothing else is known. */
    void advance(boolean leading, boolean logReachable, long nowMillis) {
        if (leading && nowMillis >= nextProgressMillis) {
            nextProgressMillis = nowMillis + PROGRESS_INTERVAL_MILLIS;
            reportProgress();
        }
        if (!isCaughtUp() && (!logReachable || logPoller.hasGap()) && nowMillis >= nextSeedRequestMillis) {
            nextSeedRequestMillis = nowMillis + PROGRESS_INTERVAL_MILLIS;
            context.identity().seeds().stream()
                    .filter(s -> !s.start().vm().equals(context.self().vm()))
                    .forEach(this::requestFromSeed);
        }
    }

    /** Tells a seed this VM's address, then asks it for records. */
    private void requestFromSeed(RosterMember seed) {
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
