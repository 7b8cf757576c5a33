package org.lacewingthread.core.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingthread.core.log.LogFixture.C1;
import static org.lacewingthread.core.log.LogFixture.CALCA;
import static org.lacewingthread.core.log.LogFixture.M1;
import static org.lacewingthread.core.log.LogFixture.M2;
import static org.lacewingthread.core.log.LogFixture.MARAS;
import static org.lacewingthread.core.log.LogFixture.assign;
import static org.lacewingthread.core.log.LogFixture.assignment;
import static org.lacewingthread.core.log.LogFixture.configuration;
import static org.lacewingthread.core.log.LogFixture.offset;
import static org.lacewingthread.core.log.LogFixture.publish;
import static org.lacewingthread.core.log.LogFixture.release;
import static org.lacewingthread.core.log.LogFixture.roster;
import static org.lacewingthread.core.log.LogFixture.server;
import static org.lacewingthread.core.log.LogFixture.term;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.ApplyResult.Outcome;

/** Tests releases, hand-overs and drains. In every test, shard 0 is initially owned by server s1 in maras. */
class ShardHandOverTest {
    private static final DataCentreId YUCAY = new DataCentreId("yucay");
    private static final VmStart Y1 = LogFixture.start("yucay-1", 9);
    private static final Term MARAS_TERM = term(3, 0, M1);
    private static final LogRecord ASSIGNMENT_IN_CALCA =
            assign(CALCA, term(4, 0, C1), assignment(0, "s3", term(4, 0, C1), 1));

    private final LogFixture log = LogFixture.bootstrapped();

    ShardHandOverTest() {
        log.append(assign(MARAS, MARAS_TERM, assignment(0, "s1", MARAS_TERM, 7)));
    }

    @Test
    void onlyTheReleaseTargetMayAssignAReleasedShard() {
        log.append(roster(YUCAY, -1, Y1));
        log.append(LogFixture.claim(YUCAY, -1, Y1));
        log.append(release(MARAS, MARAS_TERM, CALCA, 0));
        Term yucayTerm = term(7, 0, Y1);

        assertThat(outcome(assign(YUCAY, yucayTerm, assignment(0, "s9", yucayTerm, 1))))
                .isEqualTo(Outcome.CONFLICT);
        assertThat(outcome(ASSIGNMENT_IN_CALCA)).isEqualTo(Outcome.ACCEPTED);
    }

    @Test
    void releaseCanBeRepeatedRedirectedOrWithdrawnUntilTheTargetAssignsTheShard() {
        log.append(roster(YUCAY, -1, Y1));
        assertThat(outcome(release(MARAS, MARAS_TERM, CALCA, 0))).isEqualTo(Outcome.ACCEPTED);
        assertThat(outcome(release(MARAS, MARAS_TERM, CALCA, 0))).isEqualTo(Outcome.ACCEPTED);
        assertThat(outcome(release(MARAS, MARAS_TERM, YUCAY, 0))).isEqualTo(Outcome.ACCEPTED);
        assertThat(outcome(ASSIGNMENT_IN_CALCA)).isEqualTo(Outcome.CONFLICT);
        assertThat(outcome(release(MARAS, MARAS_TERM, MARAS, 0))).isEqualTo(Outcome.ACCEPTED);
        assertThat(outcome(assign(MARAS, MARAS_TERM, assignment(0, "s2", MARAS_TERM, 8))))
                .isEqualTo(Outcome.ACCEPTED);

        log.append(release(MARAS, MARAS_TERM, CALCA, 0));
        log.append(ASSIGNMENT_IN_CALCA);
        assertThat(outcome(release(MARAS, MARAS_TERM, MARAS, 0))).isEqualTo(Outcome.CONFLICT);
    }

    @Test
    void releaseToADataCentreWithoutEntryVmsIsRejected() {
        assertThat(outcome(release(MARAS, MARAS_TERM, YUCAY, 0))).isEqualTo(Outcome.CONFLICT);
    }

    @Test
    void handOverKeepsTheTargetOfShardsReleasedEarlier() {
        log.append(roster(YUCAY, -1, Y1));
        log.append(release(MARAS, MARAS_TERM, CALCA, 0));
        log.append(new LogRecord.DataCentreHandedOver(MARAS, YUCAY, "fire"));

        assertThat(outcome(ASSIGNMENT_IN_CALCA)).isEqualTo(Outcome.ACCEPTED);
    }

    @Test
    void publishThatMovesAServerIsRejectedWhileItOwnsShards() {
        LogRecord moved = publish(0, withServer(server("s1", MARAS, 99)));
        assertThat(outcome(moved)).isEqualTo(Outcome.CONFLICT);
        assertThat(outcome(publish(0, withServer(server("s1", CALCA, 1))))).isEqualTo(Outcome.CONFLICT);

        log.append(assign(MARAS, MARAS_TERM, assignment(0, "s2", MARAS_TERM, 8)));
        assertThat(outcome(moved)).isEqualTo(Outcome.ACCEPTED);
    }

    @Test
    void publishMayMoveAServerThatOwnsOnlyShardsOfARemovedApplication() {
        List<ServerSpec> servers = configuration(16).servers();
        log.append(publish(0, new RoutingConfiguration(List.of(), servers)));
        List<ServerSpec> moved = withServer(server("s1", MARAS, 99)).servers();

        assertThat(outcome(publish(6, new RoutingConfiguration(List.of(), moved))))
                .isEqualTo(Outcome.ACCEPTED);
        assertThat(log.entry(0).assignment().owner()).isEqualTo(new ServerId("s1"));
    }

    @Test
    void removedServerRemainsTheRecordedOwnerOfItsShards() {
        List<ServerSpec> rest = configuration(16).servers().subList(1, 3);

        assertThat(outcome(publish(0, new RoutingConfiguration(List.of(LogFixture.ledger(16)), rest))))
                .isEqualTo(Outcome.ACCEPTED);
        assertThat(log.entry(0).assignment().owner()).isEqualTo(new ServerId("s1"));
    }

    @Test
    void drainEndsWhenTheServerIsRemovedOrTheVmRejoins() {
        log.append(new LogRecord.ServerDrainSet(new ServerId("s1"), true));
        log.append(new LogRecord.ServerDrainSet(new ServerId("s2"), true));
        log.append(new LogRecord.VmDrainSet(M1.vm(), true));
        List<ServerSpec> rest = configuration(16).servers().subList(1, 3);
        log.append(publish(0, new RoutingConfiguration(List.of(LogFixture.ledger(16)), rest)));
        assertThat(log.state().drainingServers()).containsExactly(new ServerId("s2"));

        log.append(roster(MARAS, 1, M1, M2));
        assertThat(log.state().drainingVms()).containsExactly(M1.vm());
        log.append(roster(MARAS, 10, M1, M2, LogFixture.start("maras-1", 77)));
        assertThat(log.state().drainingVms()).isEmpty();
        assertThat(log.state().dataCentre(MARAS).rosterRevision()).isEqualTo(offset(11));
    }

    private Outcome outcome(LogRecord body) {
        return log.append(body).outcome();
    }

    private static RoutingConfiguration withServer(ServerSpec changed) {
        List<ServerSpec> servers = new ArrayList<>(configuration(16).servers());
        servers.set(0, changed);
        return new RoutingConfiguration(List.of(LogFixture.ledger(16)), servers);
    }
}
