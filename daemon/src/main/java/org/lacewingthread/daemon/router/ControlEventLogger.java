package org.lacewingthread.daemon.router;

import java.util.List;
import java.util.Set;
import java.util.function.LongUnaryOperator;
import java.util.stream.Collectors;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.AppendResult;
import org.lacewingthread.core.keyrange.CoordinatorAction;
import org.lacewingthread.core.keyrange.KeyRange;
import org.lacewingthread.core.keyrange.Leader;
import org.lacewingthread.core.keyrange.RangeEventListener;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.keyrange.TakeoverReason;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.serving.ServingConfiguration;
import org.lacewingthread.daemon.events.EventLog;

/**
 * Logs changes in the process's knowledge of the leader, the range table, the servers and the configuration, and the
 * decisions of the coordinator of key ranges.
 *
 * @param events log that the events are written to
 * @param storeSilenceMillis returns for a time how long the store has been silent then
 */
record ControlEventLogger(EventLog events, LongUnaryOperator storeSilenceMillis) implements RangeEventListener {
    void logLeadershipChange(boolean gained, RangeTable table) {
        events.write(gained ? "leadership.gained" : "leadership.lost", "term", table.term(), "leader", leader(table));
    }

    /**
     * An append of a range table that was asked for.
     *
     * @param record the append
     * @param previousTable table from which the new one was derived
     * @param askedMillis when the append was decided, by the control clock
     */
    record Append(CoordinatorAction.RecordTable record, RangeTable previousTable, long askedMillis) {}

    void logAppendEnded(Append append, AppendResult result, long answeredMillis) {
        RangeTable table = append.record().table();
        RangeTableChanges changes = RangeTableChanges.between(append.previousTable(), table);
        events.write(
                result.outcome() == AppendResult.Outcome.RECORDED ? "table.recorded" : "table.not-recorded",
                "term",
                table.term(),
                "result",
                result.outcome(),
                "expected_end",
                append.record().expectedEnd(),
                "new_end",
                result.newEnd().isPresent() ? result.newEnd().getAsLong() : null,
                "asked_ms",
                append.askedMillis(),
                "answered_ms",
                answeredMillis,
                "moving",
                table.rangesByService().values().stream()
                        .flatMap(List::stream)
                        .filter(RangeOwnership::isMoving)
                        .count(),
                "changed",
                changes.text(),
                "changed_unlisted",
                changes.unlistedCount());
    }

    @Override
    public void onTakeover(
            ServiceId service,
            KeyRange range,
            ServerStart owner,
            ServerStart formerOwner,
            TakeoverReason reason,
            long fence,
            long formerHeldUntilMillis,
            long nowMillis) {
        events.write(
                "range.takeover",
                "service",
                service,
                "range",
                range,
                "server",
                owner,
                "former_server",
                formerOwner,
                "reason",
                reason,
                "fence",
                fence,
                "former_held_until_ms",
                formerHeldUntilMillis,
                "taken_over_ms",
                nowMillis,
                "store_silence_ms",
                storeSilenceMillis.applyAsLong(nowMillis));
    }

    @Override
    public void onTermStarted(long term, Set<Leader> formerLeaders, long formerLeadersStoppedByMillis, long nowMillis) {
        events.write(
                "term.started",
                "term",
                term,
                "former_leaders",
                formerLeaders.stream()
                        .map(leader -> leader.process().toString())
                        .sorted()
                        .collect(Collectors.joining(", ")),
                "former_leaders_stopped_by_ms",
                formerLeaders.isEmpty() ? null : formerLeadersStoppedByMillis,
                "started_ms",
                nowMillis,
                "store_silence_ms",
                storeSilenceMillis.applyAsLong(nowMillis));
    }

    @Override
    public void onFormerLeadersStopped(StopEvidence evidence, long nowMillis) {
        events.write(
                "term.former-leaders-stopped",
                "evidence",
                evidence,
                "stopped_ms",
                nowMillis,
                "store_silence_ms",
                storeSilenceMillis.applyAsLong(nowMillis));
    }

    void logTableRead(RangeTable previousTable, RangeTable table, long end, String from) {
        RangeTableChanges changes = RangeTableChanges.between(previousTable, table);
        events.write(
                "table.read",
                "term",
                table.term(),
                "leader",
                leader(table),
                "end",
                end,
                "from",
                from,
                "changed",
                changes.text(),
                "changed_unlisted",
                changes.unlistedCount());
    }

    void logConfigurationApplied(ServingConfiguration configuration) {
        events.write(
                "configuration.applied",
                "version",
                configuration.version(),
                "routes",
                configuration.routes().size(),
                "services",
                configuration.services().size());
    }

    void logServerSeen(ServerEntry entry) {
        events.write(
                "server.seen",
                "server",
                entry.start(),
                "service",
                entry.service(),
                "address",
                entry.host() + ":" + entry.port(),
                "draining",
                entry.draining());
    }

    private static String leader(RangeTable table) {
        return table.leader().map(Object::toString).orElse(null);
    }

    /** Logs that a server's answer said that it leaves, before or without its entry. */
    void logLeavingAnnounced(ServerStart server) {
        events.write("server.leaving-announced", "server", server);
    }
}
