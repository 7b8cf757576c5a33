package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;

class LeaderStatusJsonTest {
    private static final Platform.Positions POSITIONS = new Platform.Positions(7, 4, 5, 12);
    private static final ReportChannel.LeaderStatus STATUS =
            new ReportChannel.LeaderStatus(1, 2, 6, 3, true, List.of(), POSITIONS, false, true);

    /** Guards against positions of another era that are taken for those of the present one. */
    @Test
    void statusIsUnchangedAfterWriteAndRead() {
        assertThat(LeaderStatusJson.read(LeaderStatusJson.write(STATUS))).isEqualTo(STATUS);
    }

    /** Guards against VMs that leave the leader group, since the leader of an earlier build names no standbys. */
    @Test
    void allVmsOfALeaderThatNamesNoStandbysStandBy() {
        ObjectNode message = LeaderStatusJson.write(STATUS);
        message.remove("standby");
        message.remove("yieldsLead");
        assertThat(LeaderStatusJson.read(message).standby()).isTrue();
        assertThat(LeaderStatusJson.read(message).yieldsLead()).isFalse();
    }

    /** Guards against answers of earlier builds, which state no era. */
    @Test
    void statusWithoutEraIsOfEraZero() {
        ObjectNode message = LeaderStatusJson.write(STATUS);
        message.remove("storeEra");
        assertThat(LeaderStatusJson.read(message).positions()).isEqualTo(new Platform.Positions(4, 5, 12));
    }

    /** Guards against joins of all VMs while a leader yields, which its standbys alone answer. */
    @Test
    void onlyStandbysJoinWhileALeaderYieldsAndAllVmsWhileItReachesNoServer() {
        ReportChannel.LeaderStatus yields =
                new ReportChannel.LeaderStatus(1, 2, 6, 3, false, List.of(), POSITIONS, false, true);
        assertThat(yields.leaderMayStay()).isFalse();
        assertThat(yields.standbysSuffice()).isTrue();
        assertThat(STATUS.standbysSuffice()).isFalse();
    }
}
