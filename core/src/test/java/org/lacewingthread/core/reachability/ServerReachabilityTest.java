package org.lacewingthread.core.reachability;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;

/** Whether an entry VM has lost its links to all servers, as its calls show. */
class ServerReachabilityTest {
    private static final ServerStart FIRST = server("s1");
    private static final ServerStart SECOND = server("s2");
    private static final ServerStart THIRD = server("s3");
    private static final ServerStart FOURTH = server("s4");

    private final ServerReachability reachability = new ServerReachability();

    private static ServerStart server(String id) {
        return new ServerStart(new ServerId(id), 1);
    }

    @BeforeEach
    void answerOnce() {
        reachability.onKnownServers(Set.of(FIRST, SECOND, THIRD, FOURTH));
        reachability.onAnswer(FIRST, 1_000);
    }

    private void fail(ServerStart server, long startedMillis) {
        reachability.onNoAnswer(server, startedMillis, startedMillis + 400);
    }

    @Test
    void vmIsCutOffWhenSeveralServersInARowDoNotAnswer() {
        fail(FIRST, 1_010);
        fail(SECOND, 1_020);
        assertThat(reachability.isCutOff(1_500)).isFalse();
        fail(THIRD, 1_030);
        assertThat(reachability.isCutOff(1_500)).isTrue();
        assertThat(reachability.isCutOff(60_000)).isTrue();
    }

    @Test
    void oneAnswerEndsTheCut() {
        vmIsCutOffWhenSeveralServersInARowDoNotAnswer();
        reachability.onAnswer(FOURTH, 61_000);
        assertThat(reachability.isCutOff(61_000)).isFalse();
        assertThat(reachability.answeredCount(61_000)).isEqualTo(1);
    }

    /** Guards against a VM that relays its requests because one server is down, however often that one fails. */
    @Test
    void oneSilentServerDoesNotCutTheVmOff() {
        for (int i = 0; i < 10; i++) {
            fail(FIRST, 1_010 + i * 400);
        }
        assertThat(reachability.isCutOff(10_000)).isFalse();
    }

    /** Guards against servers of one rack that refuse connections between two answers of others. */
    @Test
    void failuresWithinAMomentAfterAnAnswerDoNotCutTheVmOff() {
        reachability.onNoAnswer(FIRST, 1_001, 1_002);
        reachability.onNoAnswer(SECOND, 1_003, 1_004);
        reachability.onNoAnswer(THIRD, 1_005, 1_006);
        assertThat(reachability.isCutOff(1_010)).isFalse();
        reachability.onAnswer(FOURTH, 1_050);
        assertThat(reachability.isCutOff(2_000)).isFalse();
    }

    /** Guards against calls that were started before another server answered. */
    @Test
    void callsThatWereStartedBeforeAnAnswerDoNotCount() {
        reachability.onAnswer(FOURTH, 1_200);
        fail(FIRST, 1_010);
        fail(SECOND, 1_020);
        fail(THIRD, 1_030);
        assertThat(reachability.isCutOff(2_000)).isFalse();
        assertThat(reachability.silentCount(2_000)).isEqualTo(3);
    }

    @Test
    void allOfTwoServersMustFail() {
        reachability.onKnownServers(Set.of(FIRST, SECOND));
        fail(FIRST, 1_010);
        assertThat(reachability.isCutOff(2_000)).isFalse();
        fail(SECOND, 1_010);
        assertThat(reachability.isCutOff(2_000)).isTrue();
    }

    @Test
    void vmWithoutServersIsNotCutOff() {
        reachability.onKnownServers(Set.of());
        assertThat(reachability.isCutOff(60_000)).isFalse();
    }
}
