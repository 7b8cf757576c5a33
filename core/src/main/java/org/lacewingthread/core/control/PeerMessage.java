package org.lacewingthread.core.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.RosterMember;

/** Control messages between entry VMs. Times in them are the sender's own and are only echoed back. */
public sealed interface PeerMessage {
    /**
     * Asks for or renews a leader lease; from the leader or a candidate to each roster member.
     *
     * @param dataCentre the data centre
     * @param term the asker's term
     * @param rosterRevision the asker's roster revision
     * @param sequence counts the asker's heartbeats within the term
     * @param echoedAtMillis {@link HeartbeatReply#repliedAtMillis} of the newest reply received from the
     *     addressee in this term, or -1; starts its dispatch lease
     * @param echoedPlanVersion plan version that reply stated as applied; the dispatch lease is under it
     * @param logEndOffset highest log offset the asker has applied
     * @param plan change of the route plan since the version the addressee stated, if it is behind
     */
    record Heartbeat(
            DataCentreId dataCentre,
            Term term,
            LogOffset rosterRevision,
            long sequence,
            long echoedAtMillis,
            long echoedPlanVersion,
            LogOffset logEndOffset,
            Optional<PlanUpdate> plan)
            implements PeerMessage {}

    /**
     * Answers a heartbeat.
     *
     * @param term term of the heartbeat answered
     * @param sequence its sequence
     * @param granted whether the replier gives the asker its leader lease
     * @param highestTerm highest term the replier has seen
     * @param rosterRevision the replier's roster revision
     * @param acknowledgedRoster whether no lease that it gave was asked for under an older roster
     * @param appliedOffset highest log offset the replier has applied
     * @param repliedAtMillis the replier's clock when it answered
     * @param appliedPlanVersion version of the asker's plan that the replier has applied, or -1
     * @param releasedPlanVersion highest applied version of which every removal has taken full effect: no
     *     request of a shard that it removed is in flight any more; or -1
     * @param held newest plan of an earlier term that the replier knows, on the first replies of a term; its
     *     dispatchers are left out if the replier serves nothing under it any more
     * @param unreachableServers backend servers that it dispatches for and finds unreachable
     * @param load requests a second of each server that it dispatches for, sent every few seconds
     */
    record HeartbeatReply(
            Term term,
            long sequence,
            boolean granted,
            Term highestTerm,
            LogOffset rosterRevision,
            boolean acknowledgedRoster,
            LogOffset appliedOffset,
            long repliedAtMillis,
            long appliedPlanVersion,
            long releasedPlanVersion,
            Optional<RoutePlan> held,
            List<ServerId> unreachableServers,
            List<ServerLoad> load)
            implements PeerMessage {}

    /**
     * Asks for log records that the sender lacks.
     *
     * @param from first offset wanted
     */
    record LogRecordsWanted(LogOffset from) implements PeerMessage {}

    /**
     * Hands on log records.
     *
     * @param entries records at rising offsets without gaps, or one snapshot
     * @param endOffset highest offset the sender has applied
     */
    record LogRecordsOffered(List<LogEntry> entries, LogOffset endOffset) implements PeerMessage {}

    /**
     * Tells how far the sender has applied the log; sent between data centres, and by a VM that asks to join.
     *
     * @param dataCentre the sender's data centre
     * @param appliedOffset highest offset it has applied
     * @param configurationRevision revision in force at every member of its data centre that it hears from
     */
    record ProgressReported(DataCentreId dataCentre, LogOffset appliedOffset, LogOffset configurationRevision)
            implements PeerMessage {}

    /**
     * Asks the leader to add the sender to the roster, or to take its work away and then remove it.
     *
     * @param dataCentre the data centre
     * @param member the sender as the roster is to name it
     * @param leaving whether the sender wants to leave
     */
    record MembershipRequested(DataCentreId dataCentre, RosterMember member, boolean leaving) implements PeerMessage {}

    /**
     * Tells the leader the newest condition of the servers that the sender dispatches for.
     *
     * @param conditions condition of each server
     */
    record ServersObserved(Map<ServerId, ServerCondition> conditions) implements PeerMessage {
        /** Copies the map. */
        public ServersObserved {
            conditions = Map.copyOf(conditions);
        }
    }
}
