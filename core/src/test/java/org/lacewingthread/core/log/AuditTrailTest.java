package org.lacewingthread.core.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingthread.core.log.LogFixture.M1;
import static org.lacewingthread.core.log.LogFixture.M2;
import static org.lacewingthread.core.log.LogFixture.MARAS;
import static org.lacewingthread.core.log.LogFixture.assign;
import static org.lacewingthread.core.log.LogFixture.assignment;
import static org.lacewingthread.core.log.LogFixture.configuration;
import static org.lacewingthread.core.log.LogFixture.offset;
import static org.lacewingthread.core.log.LogFixture.publish;
import static org.lacewingthread.core.log.LogFixture.roster;
import static org.lacewingthread.core.log.LogFixture.server;
import static org.lacewingthread.core.log.LogFixture.term;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingthread.core.control.AuditLine;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.WriterId;

class AuditTrailTest {
    private final LogFixture log = LogFixture.bootstrapped();

    static Stream<Arguments> records() {
        LogRecord withServer = publish(0, configuration(16, server("s4", MARAS, 4)));
        return Stream.of(
                Arguments.of(withServer, "configuration-published", true, "base 0: + server s4"),
                Arguments.of(
                        publish(3, configuration(16)),
                        "configuration-published",
                        false,
                        "conflict: configuration is at revision 0, not at 3; wanted: base 3: no change"),
                Arguments.of(roster(MARAS, 1, M1, M2), "roster-changed", true, "roster of maras: + maras-2#2"),
                Arguments.of(
                        new LogRecord.RosterReset(MARAS, offset(1), LogFixture.members(M2), "rack lost"),
                        "roster-reset",
                        true,
                        "roster of maras: + maras-2#2, - maras-1#1 (rack lost)"),
                Arguments.of(
                        LogFixture.claim(MARAS, 3, M1), "leader-claimed", true, "maras-1#1 leads maras after claim 3"),
                Arguments.of(
                        assign(MARAS, term(3, 0, M1), assignment(2, "s1", term(3, 0, M1), 7)),
                        "assignments-recorded",
                        true,
                        "term 3.0.maras-1#1: ledger/2 none -> s1"),
                Arguments.of(
                        new LogRecord.ServerDrainSet(new ServerId("s1"), true),
                        "server-drain-set",
                        true,
                        "server s1 drains"),
                Arguments.of(
                        new LogRecord.VmDrainSet(M1.vm(), false), "vm-drain-set", true, "VM maras-1 drains no longer"),
                Arguments.of(
                        new LogRecord.KeysMerged(MARAS, term(3, 0, M1), LogFixture.LEDGER, List.of(255L)),
                        "keys-merged",
                        true,
                        "ledger merges keys ff"),
                Arguments.of(
                        new LogRecord.SnapshotTaken(ReplicaState.EMPTY), "snapshot-taken", true, "state after -1"));
    }

    @ParameterizedTest(name = "{1}: {3}")
    @MethodSource("records")
    void describesTheChangeOrTheReasonForRejection(LogRecord body, String kind, boolean accepted, String detail) {
        RecordHeader header = new RecordHeader(new WriterId("w9"), 0, "rosa", 1_700_000_000_000L);
        ReplicaState before = log.state();
        ApplyResult result = log.append(header, body);

        assertThat(AuditTrail.describe(before, log.entries.get(5), result))
                .contains(new AuditLine(offset(5), "rosa", 1_700_000_000_000L, kind, accepted, detail));
    }

    @Test
    void describesAnUnreadableRecordWithUnknownAuthor() {
        ReplicaState before = log.state();
        ApplyResult result = log.append(null, new LogRecord.Unreadable("truncated"));

        assertThat(AuditTrail.describe(before, log.entries.get(5), result))
                .contains(new AuditLine(offset(5), "unknown", 0, "unreadable", false, "malformed: truncated"));
    }

    @Test
    void returnsEmptyForAnEntryThatWasNotConsumed() {
        LogEntry again = log.entries.get(0);
        assertThat(AuditTrail.describe(log.state(), again, log.replica.apply(again)))
                .isEmpty();
    }
}
