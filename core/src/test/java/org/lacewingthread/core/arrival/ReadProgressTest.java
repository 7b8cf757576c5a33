package org.lacewingthread.core.arrival;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReadProgressTest {
    private static final long PASS_MILLIS = 10;

    private long nowMillis = 1_000;
    private final LoopProgress loop = new LoopProgress(nowMillis);

    private void pass(long millis) {
        nowMillis += millis;
        loop.onPass(nowMillis);
    }

    private ReadProgress acceptAndPass() {
        ReadProgress reads = new ReadProgress(loop, nowMillis);
        for (int i = 0; i < 20; i++) {
            pass(PASS_MILLIS);
        }
        return reads;
    }

    /** Guards against looks at connections of a process that is not held up, each of which costs a call. */
    @Test
    void connectionOfALoopThatIsNotHeldUpIsCurrent() {
        ReadProgress reads = acceptAndPass();
        assertThat(reads.isCurrent(nowMillis)).isTrue();
        reads.onRead(true, nowMillis);
        assertThat(reads.isCurrent(nowMillis)).isTrue();
        assertThat(reads.arrivedMillis()).isEqualTo(nowMillis);
    }

    /** Guards against a request whose caller's time counts from when it was read late. */
    @Test
    void whatIsReadAfterAPauseMayHaveArrivedAtItsBeginning() {
        ReadProgress reads = acceptAndPass();
        long beforeMillis = nowMillis;
        pass(900);
        reads.onRead(true, nowMillis);
        assertThat(reads.arrivedMillis()).isBetween(beforeMillis - PASS_MILLIS, beforeMillis);
    }

    /** Guards against the end of a connection that is missed because a read found bytes before it. */
    @Test
    void connectionIsNotCurrentAfterAPauseUntilARereadFindsNothing() {
        ReadProgress reads = acceptAndPass();
        pass(900);
        reads.onRead(true, nowMillis);
        assertThat(reads.isCurrent(nowMillis)).isFalse();
        reads.onRead(false, nowMillis);
        assertThat(reads.isCurrent(nowMillis)).isTrue();
    }

    @Test
    void passesThatFollowAReadShowThatNothingIsLeft() {
        ReadProgress reads = acceptAndPass();
        pass(900);
        reads.onRead(true, nowMillis);
        pass(1);
        assertThat(reads.isCurrent(nowMillis)).isFalse();
        pass(1);
        assertThat(reads.isCurrent(nowMillis)).isTrue();
    }

    /** Guards against connections that count as new although they waited to be accepted, some of them over several passes. */
    @Test
    void whatIsReadOfANewConnectionMayHaveArrivedBeforeItWasAccepted() {
        ReadProgress accepts = acceptAndPass();
        long beforeMillis = nowMillis;
        pass(900);
        for (int i = 0; i < 3; i++) {
            ReadProgress reads = new ReadProgress(loop, accepts.readUntilMillis(), nowMillis);
            accepts.onRead(true, nowMillis);
            pass(1);
            reads.onRead(true, nowMillis);
            assertThat(reads.arrivedMillis()).isLessThanOrEqualTo(beforeMillis);
            assertThat(reads.isCurrent(nowMillis)).isFalse();
        }
    }

    /** Guards against callers that leave unnoticed while the reading of their connections is paused. */
    @Test
    void connectionWhoseReadingIsPausedIsNotCurrentForLong() {
        ReadProgress reads = acceptAndPass();
        reads.onWatched(false, nowMillis);
        for (int i = 0; i < 20; i++) {
            pass(PASS_MILLIS);
        }
        assertThat(reads.isCurrent(nowMillis)).isFalse();
        reads.onWatched(true, nowMillis);
        assertThat(reads.isCurrent(nowMillis)).isFalse();
        pass(1);
        pass(1);
        assertThat(reads.isCurrent(nowMillis)).isTrue();
    }
}
