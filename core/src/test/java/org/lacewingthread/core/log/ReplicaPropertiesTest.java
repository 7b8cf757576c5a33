package org.lacewingthread.core.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.statistics.Statistics;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.RandomLog.Step;

class ReplicaPropertiesTest {
    @Provide
    Arbitrary<List<Step>> steps() {
        return RandomLog.steps();
    }

    @Property(seed = "4711", tries = 300, edgeCases = EdgeCasesMode.NONE)
    void replayFromAnySnapshotMatchesReplayFromTheFirstRecord(@ForAll("steps") List<Step> steps) {
        List<LogEntry> entries = RandomLog.entries(steps);
        List<ReplicaState> states = statesAfterEach(entries);
        ReplicaState last = states.get(states.size() - 1);

        for (int cut = 0; cut < entries.size(); cut += 3) {
            LogReplica replica = new LogReplica(states.get(cut));
            entries.forEach(replica::apply);
            assertThat(replica.state()).isEqualTo(last);
            assertThat(replica.snapshotMismatchCount()).isZero();
        }
    }

    @Property(seed = "4712", tries = 300, edgeCases = EdgeCasesMode.NONE)
    void replicasAgreeWhateverTheBatches(
            @ForAll("steps") List<Step> steps, @ForAll List<@IntRange(min = 0, max = 130) Integer> batchStarts) {
        List<LogEntry> entries = RandomLog.entries(steps);
        LogReplica whole = new LogReplica();
        entries.forEach(whole::apply);
        LogReplica inBatches = new LogReplica();
        for (int start : batchStarts) {
            int end = Math.min(entries.size(), start + 20);
            entries.subList(Math.min(start, end), end).forEach(inBatches::apply);
        }
        int applied = (int) inBatches.nextOffset().value();
        assertThat(inBatches.state()).isEqualTo(stateAt(entries, applied));

        entries.forEach(inBatches::apply);
        assertThat(inBatches.state()).isEqualTo(whole.state());
    }

    @Property(seed = "4713", tries = 300, edgeCases = EdgeCasesMode.NONE)
    void offsetsRevisionsTermsAndTokensNeverDecrease(@ForAll("steps") List<Step> steps) {
        List<ReplicaState> states = statesAfterEach(RandomLog.entries(steps));
        for (int i = 1; i < states.size(); i++) {
            assertNoDecrease(states.get(i - 1), states.get(i));
        }
    }

    private static void assertNoDecrease(ReplicaState before, ReplicaState after) {
        assertThat(after.appliedOffset()).isEqualTo(before.appliedOffset().next());
        assertThat(after.configurationRevision()).isGreaterThanOrEqualTo(before.configurationRevision());
        for (DataCentreId id : before.dataCentres().keySet()) {
            DataCentreState old = before.dataCentre(id);
            DataCentreState changed = after.dataCentre(id);
            assertThat(changed.claimOffset()).isGreaterThanOrEqualTo(old.claimOffset());
            assertThat(changed.rosterRevision()).isGreaterThanOrEqualTo(old.rosterRevision());
            if (old.recordedTerm() != null) {
                assertThat(changed.recordedTerm()).isGreaterThanOrEqualTo(old.recordedTerm());
            }
        }
        before.shardTables().forEach((id, table) -> assertNoDecrease(table, after.shardTable(id)));
    }

    private static void assertNoDecrease(ShardTable before, ShardTable after) {
        assertThat(after.shardCount()).isEqualTo(before.shardCount());
        for (int i = 0; i < before.entries().size(); i++) {
            ShardTable.Entry old = before.entry(i);
            ShardTable.Entry changed = after.entry(i);
            boolean comparable = old != null
                    && changed != null
                    && old.home() != null
                    && old.home().equals(changed.home());
            if (comparable) {
                assertThat(changed.assignment().token())
                        .isGreaterThanOrEqualTo(old.assignment().token());
            }
        }
    }

    @Property(seed = "4714", tries = 300, edgeCases = EdgeCasesMode.NONE)
    void atMostOneConfigurationIsAcceptedPerBaseRevision(@ForAll("steps") List<Step> steps) {
        LogReplica replica = new LogReplica();
        Set<LogOffset> won = new HashSet<>();
        for (LogEntry entry : RandomLog.entries(steps)) {
            boolean accepted = replica.apply(entry).isAccepted();
            if (accepted && entry.body() instanceof LogRecord.ConfigurationPublished record) {
                assertThat(won.add(record.baseRevision())).isTrue();
                assertThat(replica.state().configuration()).isEqualTo(record.configuration());
            }
        }
    }

    /** Checks the generator: if its logs lacked accepted records of some type, the other properties could not fail. */
    @Property(seed = "4715", tries = 300, edgeCases = EdgeCasesMode.NONE)
    void generatedLogsContainAcceptedRecordsOfEveryKind(@ForAll("steps") List<Step> steps) {
        LogReplica replica = new LogReplica();
        for (LogEntry entry : RandomLog.entries(steps)) {
            ApplyResult result = replica.apply(entry);
            Statistics.label("accepted")
                    .collect(
                            result.isAccepted()
                                    ? AuditTrail.kindOf(entry.body())
                                    : result.outcome().name());
        }
        Statistics.label("accepted").coverage(coverage -> {
            for (Class<?> kind : LogRecord.class.getPermittedSubclasses()) {
                if (kind != LogRecord.Unreadable.class) {
                    coverage.check(AuditTrail.kindOf(kind)).count(count -> count >= 50);
                }
            }
            coverage.check("CONFLICT").count(count -> count >= 50);
            coverage.check("MALFORMED").count(count -> count >= 50);
            coverage.check("DUPLICATE").count(count -> count >= 50);
        });
    }

    @Property(seed = "4716", tries = 300, edgeCases = EdgeCasesMode.NONE)
    void returnedStatesNeverChange(@ForAll("steps") List<Step> steps) {
        List<LogEntry> entries = RandomLog.entries(steps);
        List<ReplicaState> states = statesAfterEach(entries);
        for (int applied = 1; applied <= entries.size(); applied += 5) {
            assertThat(states.get(applied - 1)).isEqualTo(stateAt(entries, applied));
        }
    }

    private static List<ReplicaState> statesAfterEach(List<LogEntry> entries) {
        LogReplica replica = new LogReplica();
        List<ReplicaState> states = new ArrayList<>();
        for (LogEntry entry : entries) {
            replica.apply(entry);
            states.add(replica.state());
        }
        return states;
    }

    private static ReplicaState stateAt(List<LogEntry> entries, int applied) {
        LogReplica replica = new LogReplica();
        entries.subList(0, applied).forEach(replica::apply);
        return replica.state();
    }
}
