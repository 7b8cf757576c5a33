package org.lacewingthread.core.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;
import static org.lacewingthread.core.log.LogFixture.C1;
import static org.lacewingthread.core.log.LogFixture.M1;
import static org.lacewingthread.core.log.LogFixture.M2;
import static org.lacewingthread.core.log.LogFixture.MARAS;
import static org.lacewingthread.core.log.LogFixture.assign;
import static org.lacewingthread.core.log.LogFixture.assignment;
import static org.lacewingthread.core.log.LogFixture.claim;
import static org.lacewingthread.core.log.LogFixture.roster;
import static org.lacewingthread.core.log.LogFixture.term;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.log.ApplyResult.Outcome;

/**
 * Tests which assignments are accepted for a term and a token. In every test, M1 has claimed the leadership of
 * maras at offset 3, and at offset 5 has assigned shard 0 to s1 with plan version 7 of its term.
 */
class TermRulesTest {
    private static final Term CLAIMED = term(3, 0, M1);

    private final LogFixture log = LogFixture.bootstrapped();

    TermRulesTest() {
        log.append(assign(MARAS, CLAIMED, assignment(0, "s1", CLAIMED, 7)));
    }

    static Stream<Arguments> assignments() {
        return Stream.of(
                arguments("next assignment of the claimant", CLAIMED, CLAIMED, 8, "s2", Outcome.ACCEPTED),
                arguments("same assignment again", CLAIMED, CLAIMED, 7, "s1", Outcome.ACCEPTED),
                arguments("same token, other owner", CLAIMED, CLAIMED, 7, "s2", Outcome.CONFLICT),
                arguments("lower token", CLAIMED, CLAIMED, 6, "s1", Outcome.CONFLICT),
                arguments("token above the term", CLAIMED, term(3, 1, M1), 8, "s2", Outcome.MALFORMED),
                arguments("server in another data centre", CLAIMED, CLAIMED, 8, "s3", Outcome.CONFLICT),
                arguments("server not configured", CLAIMED, CLAIMED, 8, "s9", Outcome.ACCEPTED),
                arguments(
                        "term of another process than the claimant",
                        term(3, 0, M2),
                        term(3, 0, M2),
                        8,
                        "s2",
                        Outcome.CONFLICT),
                arguments(
                        "term of a log outage, leader not in the roster",
                        term(3, 1, M2),
                        term(3, 1, M2),
                        1,
                        "s2",
                        Outcome.ACCEPTED),
                arguments("higher token of an earlier term", term(3, 1, M2), CLAIMED, 9, "s2", Outcome.ACCEPTED),
                arguments("lower token of an earlier term", term(3, 1, M2), CLAIMED, 6, "s2", Outcome.CONFLICT),
                arguments("older claim", term(2, 9, M1), term(2, 9, M1), 8, "s2", Outcome.CONFLICT),
                arguments("claim of another data centre", term(4, 0, C1), term(4, 0, C1), 8, "s2", Outcome.CONFLICT));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("assignments")
    void acceptsOrRejectsAnAssignmentByTermAndToken(
            String name, Term term, Term tokenTerm, long plan, String owner, Outcome expected) {
        ShardTable.Entry before = log.entry(0);

        ApplyResult result = log.append(assign(MARAS, term, assignment(0, owner, tokenTerm, plan)));

        assertThat(result.outcome()).as(result.reason()).isEqualTo(expected);
        String ownerAfter =
                result.isAccepted() ? owner : before.assignment().owner().value();
        assertThat(log.entry(0).assignment().owner()).isEqualTo(new ServerId(ownerAfter));
    }

    @Test
    void assignmentsOfADeposedLeaderAreRejected() {
        log.append(roster(MARAS, 1, M1, M2));
        Term outage = term(3, 1, M2);
        log.append(assign(MARAS, outage, assignment(0, "s2", outage, 0)));

        assertThat(log.append(assign(MARAS, CLAIMED, assignment(0, "s1", CLAIMED, 99)))
                        .outcome())
                .isEqualTo(Outcome.CONFLICT);
        assertThat(log.append(assign(MARAS, CLAIMED, assignment(1, "s1", CLAIMED, 99)))
                        .outcome())
                .isEqualTo(Outcome.CONFLICT);
        log.append(claim(MARAS, 3, M1));
        assertThat(log.append(assign(MARAS, term(3, 5, M2), assignment(0, "s2", outage, 0)))
                        .outcome())
                .isEqualTo(Outcome.CONFLICT);
        assertThat(log.append(assign(MARAS, term(10, 0, M1), assignment(0, "s1", term(10, 0, M1), 0)))
                        .outcome())
                .isEqualTo(Outcome.ACCEPTED);
    }

    @Test
    void recordWithOneInvalidAssignmentChangesNothing() {
        ReplicaState before = log.state();

        ApplyResult result =
                log.append(assign(MARAS, CLAIMED, assignment(1, "s1", CLAIMED, 8), assignment(0, "s1", CLAIMED, 1)));

        assertThat(result.outcome()).isEqualTo(Outcome.CONFLICT);
        assertThat(log.state().shardTables()).isEqualTo(before.shardTables());
        assertThat(log.state().dataCentres()).isEqualTo(before.dataCentres());
    }

    @Test
    void assignmentWithAnEqualTokenCanChangeTheFailoverList() {
        ShardAssignment changed = new ShardAssignment(
                LogFixture.shard(0), new ServerId("s1"), List.of(new ServerId("s2")), new FencingToken(CLAIMED, 7));

        assertThat(log.append(assign(MARAS, CLAIMED, changed)).outcome()).isEqualTo(Outcome.ACCEPTED);
        assertThat(log.entry(0).assignment()).isEqualTo(changed);
    }

    static Stream<Arguments> malformed() {
        ShardAssignment once = assignment(1, "s1", CLAIMED, 8);
        return Stream.of(
                arguments("same shard twice", assign(MARAS, CLAIMED, once, once), Outcome.MALFORMED),
                arguments(
                        "shard does not exist",
                        assign(MARAS, CLAIMED, assignment(16, "s1", CLAIMED, 8)),
                        Outcome.CONFLICT),
                arguments(
                        "data centre without roster",
                        assign(new DataCentreId("yucay"), term(-1, 1, M1), once),
                        Outcome.CONFLICT),
                arguments(
                        "handed over to itself",
                        new LogRecord.DataCentreHandedOver(MARAS, MARAS, "x"),
                        Outcome.MALFORMED),
                arguments(
                        "handed over to a data centre without roster",
                        new LogRecord.DataCentreHandedOver(MARAS, new DataCentreId("yucay"), "x"),
                        Outcome.CONFLICT),
                arguments("claim by a process that is not in the roster", claim(MARAS, 3, M2), Outcome.CONFLICT),
                arguments("claim that does not follow the newest claim", claim(MARAS, -1, M1), Outcome.CONFLICT),
                arguments("VM of another data centre", roster(MARAS, 1, M1, C1), Outcome.CONFLICT),
                arguments("same VM twice", roster(MARAS, 1, M1, M1), Outcome.MALFORMED),
                arguments(
                        "reset without reason",
                        new LogRecord.RosterReset(MARAS, LogFixture.offset(1), LogFixture.members(M2), " "),
                        Outcome.MALFORMED),
                arguments(
                        "drain of an unknown server",
                        new LogRecord.ServerDrainSet(new ServerId("s9"), true),
                        Outcome.CONFLICT),
                arguments("drain of an unknown VM", new LogRecord.VmDrainSet(M2.vm(), true), Outcome.CONFLICT),
                arguments(
                        "split of an unassigned shard",
                        new LogRecord.KeysSplit(MARAS, CLAIMED, LogFixture.LEDGER, List.of(1L)),
                        Outcome.CONFLICT),
                arguments(
                        "split of one key twice",
                        new LogRecord.KeysSplit(MARAS, CLAIMED, LogFixture.LEDGER, List.of(16L, 16L)),
                        Outcome.MALFORMED));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("malformed")
    void rejectsARecordWhoseConditionFails(String name, LogRecord body, Outcome expected) {
        ReplicaState before = log.state();

        ApplyResult result = log.append(body);

        assertThat(result.outcome()).as(result.reason()).isEqualTo(expected);
        assertThat(log.state().shardTables()).isEqualTo(before.shardTables());
        assertThat(log.state().dataCentres()).isEqualTo(before.dataCentres());
        assertThat(log.state().appliedOffset()).isEqualTo(before.appliedOffset().next());
    }
}
