package org.lacewingthread.core.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingthread.core.log.LogFixture.C1;
import static org.lacewingthread.core.log.LogFixture.CALCA;
import static org.lacewingthread.core.log.LogFixture.M1;
import static org.lacewingthread.core.log.LogFixture.M2;
import static org.lacewingthread.core.log.LogFixture.MARAS;
import static org.lacewingthread.core.log.LogFixture.assign;
import static org.lacewingthread.core.log.LogFixture.assignment;
import static org.lacewingthread.core.log.LogFixture.claim;
import static org.lacewingthread.core.log.LogFixture.configuration;
import static org.lacewingthread.core.log.LogFixture.offset;
import static org.lacewingthread.core.log.LogFixture.publish;
import static org.lacewingthread.core.log.LogFixture.release;
import static org.lacewingthread.core.log.LogFixture.roster;
import static org.lacewingthread.core.log.LogFixture.term;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.ApplyResult.Outcome;

class LogReplicaTest {
    private final LogFixture log = LogFixture.bootstrapped();

    @Test
    void acceptsBootstrapRecords() {
        assertThat(log.state().configurationRevision()).isEqualTo(offset(0));
        assertThat(log.state().dataCentre(MARAS).claimOffset()).isEqualTo(offset(3));
        assertThat(log.state().roster(CALCA)).extracting(RosterMember::start).containsExactly(C1);
    }

    @Test
    void dropsARecordAppendedTwice() {
        RecordHeader header = new RecordHeader(new WriterId("w2"), 0, "ana", 0);
        LogRecord drain = new LogRecord.ServerDrainSet(new ServerId("s1"), true);
        assertThat(log.append(header, drain).outcome()).isEqualTo(Outcome.ACCEPTED);
        log.append(new LogRecord.ServerDrainSet(new ServerId("s1"), false));

        assertThat(log.append(header, drain).outcome()).isEqualTo(Outcome.DUPLICATE);
        assertThat(log.state().drainingServers()).isEmpty();
    }

    @Test
    void dropsARejectedRecordAppendedAgain() {
        RecordHeader header = new RecordHeader(new WriterId("w2"), 0, "ana", 0);
        LogRecord claim = claim(MARAS, 7, M1);
        assertThat(log.append(header, claim).outcome()).isEqualTo(Outcome.CONFLICT);
        log.append(claim(MARAS, 3, M1));
        log.append(claim(MARAS, 6, M1));

        assertThat(log.append(header, claim).outcome()).isEqualTo(Outcome.DUPLICATE);
        assertThat(log.state().dataCentre(MARAS).claimOffset()).isEqualTo(offset(7));
    }

    @Test
    void entryAfterAGapIsNotApplied() {
        ReplicaState before = log.state();
        LogEntry later =
                new LogEntry(offset(9), new RecordHeader(new WriterId("w1"), 99, "ana", 0), claim(MARAS, 3, M1));

        assertThat(log.replica.apply(later).outcome()).isEqualTo(Outcome.GAP);
        assertThat(log.state()).isSameAs(before);
    }

    @Test
    void doesNotApplyAnOffsetTwice() {
        ReplicaState before = log.state();

        assertThat(log.replica.apply(log.entries.get(2)).outcome()).isEqualTo(Outcome.ALREADY_APPLIED);
        assertThat(log.state()).isSameAs(before);
    }

    @Test
    void skipsAndCountsUnreadableRecords() {
        ApplyResult result = log.append(null, new LogRecord.Unreadable("unknown kind 77"));

        assertThat(result).isEqualTo(new ApplyResult(Outcome.MALFORMED, "unknown kind 77"));
        assertThat(log.replica.malformedCount()).isEqualTo(1);
        assertThat(log.replica.nextOffset()).isEqualTo(offset(6));
    }

    @Test
    void restoreIgnoresAnOlderSnapshot() {
        LogReplica other = new LogReplica();
        assertThat(other.restore(log.state())).isTrue();
        assertThat(other.state()).isEqualTo(log.state());
        assertThat(other.restore(ReplicaState.EMPTY)).isFalse();
        assertThat(other.state()).isEqualTo(log.state());
    }

    @Test
    void rejectsASnapshotThatCoversItsOwnOffset() {
        ReplicaState ahead = log.state().withAppliedOffset(offset(6));

        assertThat(log.append(new LogRecord.SnapshotTaken(ahead)).outcome()).isEqualTo(Outcome.MALFORMED);
        assertThat(log.replica.newestSnapshotOffset()).isEqualTo(LogOffset.NONE);
        assertThat(log.state().appliedOffset()).isEqualTo(offset(5));
    }

    @Test
    void acceptsOnlyTheFirstOfTwoConfigurationsWithTheSameBase() {
        assertThat(log.append(publish(0, configuration(16))).outcome()).isEqualTo(Outcome.ACCEPTED);
        ApplyResult loser = log.append(publish(0, configuration(16)));

        assertThat(loser.outcome()).isEqualTo(Outcome.CONFLICT);
        assertThat(loser.reason()).isEqualTo("configuration is at revision 5, not at 0");
    }

    @Test
    void rejectsAChangedShardCountEvenAfterTheApplicationWasRemoved() {
        assertThat(log.append(publish(0, configuration(32))).outcome()).isEqualTo(Outcome.MALFORMED);
        log.append(publish(0, org.lacewingthread.core.config.RoutingConfiguration.EMPTY));

        assertThat(log.append(publish(6, configuration(32))).outcome()).isEqualTo(Outcome.MALFORMED);
        assertThat(log.append(publish(6, configuration(16))).outcome()).isEqualTo(Outcome.ACCEPTED);
    }

    @Test
    void releasedShardCanBeAssignedOnlyByTheTargetDataCentre() {
        log.append(assign(MARAS, term(3, 0, M1), assignment(0, "s1", term(3, 0, M1), 7)));
        LogRecord adoption = assign(CALCA, term(4, 0, C1), assignment(0, "s3", term(4, 0, C1), 1));
        assertThat(log.append(adoption).outcome()).isEqualTo(Outcome.CONFLICT);
        assertThat(log.append(release(MARAS, term(3, 0, M1), CALCA, 0)).outcome())
                .isEqualTo(Outcome.ACCEPTED);
        LogRecord late = assign(MARAS, term(3, 0, M1), assignment(0, "s2", term(3, 0, M1), 9));
        assertThat(log.append(late).outcome()).isEqualTo(Outcome.CONFLICT);

        assertThat(log.append(adoption).outcome()).isEqualTo(Outcome.ACCEPTED);
        assertThat(log.entry(0).home()).isEqualTo(CALCA);
        assertThat(log.entry(0).adopter()).isNull();
    }

    @Test
    void handOverReleasesAssignedShardsToTheTarget() {
        log.append(assign(MARAS, term(3, 0, M1), assignment(0, "s1", term(3, 0, M1), 7)));
        log.append(new LogRecord.DataCentreHandedOver(MARAS, CALCA, "fire"));

        assertThat(log.entry(0).adopter()).isEqualTo(CALCA);
        assertThat(log.entry(1).adopter()).isNull();
    }

    @Test
    void splitKeyCanBeMergedOnlyWhenBothShardsHaveTheSameOwner() {
        long hash = 0xabcdef0123456780L;
        log.append(assign(MARAS, term(3, 0, M1), assignment(0, "s1", term(3, 0, M1), 7)));
        LogRecord split = new LogRecord.KeysSplit(MARAS, term(3, 0, M1), LogFixture.LEDGER, List.of(hash));
        LogRecord merge = new LogRecord.KeysMerged(MARAS, term(3, 0, M1), LogFixture.LEDGER, List.of(hash));
        assertThat(log.append(split).outcome()).isEqualTo(Outcome.ACCEPTED);
        assertThat(log.state().shardTable(LogFixture.LEDGER).indexOf(hash)).isEqualTo(16);
        assertThat(log.entry(16).assignment().owner()).isEqualTo(new ServerId("s1"));

        log.append(assign(MARAS, term(3, 0, M1), assignment(16, "s2", term(3, 0, M1), 8)));
        assertThat(log.append(merge).outcome()).isEqualTo(Outcome.CONFLICT);
        log.append(assign(MARAS, term(3, 0, M1), assignment(16, "s1", term(3, 0, M1), 9)));
        assertThat(log.append(merge).outcome()).isEqualTo(Outcome.ACCEPTED);
        assertThat(log.state().shardTable(LogFixture.LEDGER).indexOf(hash)).isZero();
        assertThat(log.entry(16)).isNull();
    }

    @Test
    void acceptsRosterChangesOfExactlyOneMember() {
        assertThat(log.append(roster(MARAS, 1, M1, M2)).outcome()).isEqualTo(Outcome.ACCEPTED);
        assertThat(log.append(roster(MARAS, 1, M1)).outcome()).isEqualTo(Outcome.CONFLICT);
        assertThat(log.append(roster(MARAS, 5, M2, M1)).outcome()).isEqualTo(Outcome.MALFORMED);
        assertThat(log.append(roster(MARAS, 5, M2)).outcome()).isEqualTo(Outcome.ACCEPTED);
        assertThat(log.append(roster(MARAS, 8)).outcome()).isEqualTo(Outcome.MALFORMED);
    }

    @Test
    void startsWithAnEmptyState() {
        assertThat(new LogReplica().state().appliedOffset()).isEqualTo(LogOffset.NONE);
        assertThat(new LogReplica().nextOffset()).isEqualTo(offset(0));
    }
}
