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

/** Control messages between entry VMs. A time in a message is by the sender's clock; the receiver only echoes it. */
public sealed interface PeerMessage {
    /**
     * Requests or renews a leader lease; sent by the leader or a candidate to each roster member.
     *
     * @param dataCentre data centre that the sender leads or wants to lead
     * @param term the sender's term
     * @param rosterRevision the sender's roster revision
     * @param sequence number of the heartbeat within the sender's term
     * @param echoedAtMillis {@link HeartbeatReply#repliedAtMillis} of the newest reply received from the
     *     receiver in this term, or -1; the receiver's dispatch lease starts at this time
     * @param echoedPlanVersion plan version that the same reply reported as applied; the dispatch lease is valid
     *     under this version
     * @param logEndOffset highest log offset that the sender has applied
     * @param plan change of the route plan since the version that the receiver reported, if the receiver is behind
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
     * @param term term of the heartbeat that is answered
     * @param sequence sequence number of that heartbeat
     * @param granted whether the replying VM grants the leader lease
     * @param highestTerm highest term that the replying VM has seen
     * @param rosterRevision roster revision of the replying VM
     * @param acknowledgedRoster whether the replying VM has granted no lease that was requested under an older roster
     * @param appliedOffset highest log offset that the replying VM has applied
     * @param repliedAtMillis time of the reply by the replying VM's clock
     * @param appliedPlanVersion version of the leader's plan that the replying VM has applied, or -1
     * @param releasedPlanVersion highest applied version whose removals are complete: no request for a shard
     *     that it removed is in flight any more; or -1
     * @param earlierTermPlan newest plan of an earlier term that the replying VM knows, sent with the first replies
     *     of a term; without dispatchers if the replying VM serves nothing under that plan any more
     * @param unreachableServers backend servers that the replying VM dispatches for and can't reach
     * @param load load of each server that the replying VM dispatches for, sent every few seconds
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
            Optional<RoutePlan> earlierTermPlan,
            List<ServerId> unreachableServers,
            List<ServerLoad> load)
            implements PeerMessage {}

    /**
     * Requests log records that the sender lacks.
     *
     * @param from first offset requested
     */
    record LogRecordsWanted(LogOffset from) implements PeerMessage {}

    /**
     * Passes on log records.
     *
     * @param entries records in ascending order of offset without gaps, or a single snapshot
     * @param endOffset highest log offset that the sender has applied
     */
    record LogRecordsOffered(List<LogEntry> entries, LogOffset endOffset) implements PeerMessage {}

    /**
     * Reports how far the sender has applied the log; sent between data centres, and by a VM that asks to join.
     *
     * @param dataCentre data centre of the sender
     * @param appliedOffset highest log offset that the sender has applied
     * @param configurationRevision configuration revision in force at every member of the sender's data centre that
     *     the sender receives messages from
     */
    record ProgressReported(DataCentreId dataCentre, LogOffset appliedOffset, LogOffset configurationRevision)
            implements PeerMessage {}

    /**
     * Asks the leader to add the sender to the roster, or to reassign its work and then remove it.
     *
     * @param dataCentre data centre of the roster
     * @param member roster entry of the sender
     * @param leaving whether the sender wants to leave
     */
    record MembershipRequested(DataCentreId dataCentre, RosterMember member, boolean leaving) implements PeerMessage {}

    /**
     * Reports to the leader the latest condition of the servers that the sender dispatches for.
     *
     * @param conditions latest condition of each server
     */
    record ServersObserved(Map<ServerId, ServerCondition> conditions) implements PeerMessage {
        /** Takes an immutable copy of the map. */
        public ServersObserved {
            conditions = Map.copyOf(conditions);
        }
    }
}
