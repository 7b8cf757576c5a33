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

/** Fetches records from other entry VMs while the log cannot be read, and exchanges progress between data centres. */
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

    PeerCatchUp(VmContext context, LogPoller logPoller, RecentRecordCache recentRecords) {
        this.context = context;
        this.logPoller = logPoller;
        this.recentRecords = recentRecords;
    }

    /** Returns whether the state has reached the highest offset reported by the log, or by peers if one answered. */
    boolean isCaughtUp() {
        LogOffset applied = context.state().appliedOffset();
        boolean reachedPeers = peerAnswered && !highestPeerOffset.isAfter(applied);
        return logPoller.reachedEnd() || reachedPeers;
    }

    /** Records a peer's applied offset and requests the missing records from it if the log cannot supply them. */
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

    /** Sends the records from the given offset on, or a snapshot, to a peer. */
    void sendRecords(RosterMember peer, LogOffset from) {
        context.outbox().send(peer, recentRecords.offerFrom(from));
    }

    /** Applies records that a peer sent. */
    void applyOffered(
            Optional<RosterMember> peer, PeerMessage.LogRecordsOffered offer, boolean logReachable, long now) {
        peerAnswered = true;
        for (LogEntry entry : offer.entries()) {
            logPoller.applyFromPeer(entry);
        }
        nextRequestMillis = Long.MIN_VALUE;
        peer.ifPresent(p -> recordPeerProgress(p, offer.endOffset(), logReachable, now));
    }

    /** Reports progress to other data centres if this VM leads, and requests records from seeds if it lags behind. */
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

    /** Sends a seed this VM's address, so that it can reply, and requests records. */
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
            RosterMember nextMember = members.get(nextPeer % members.size());
            context.outbox().send(nextMember, report);
            Optional.ofNullable(dataCentre.claimant())
                    .flatMap(dataCentre::member)
                    .filter(m -> !m.equals(nextMember))
                    .ifPresent(m -> context.outbox().send(m, report));
        });
    }
}
