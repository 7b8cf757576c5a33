package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What a process knows of the history of a log that it finds empty. */
class FirstUseTest {
    private static final long STARTED_MILLIS = 5_000;

    private final FirstUse firstUse = new FirstUse(true, STARTED_MILLIS);

    @Test
    void logOfAStoreThatIsKnownSinceTheFirstStartWasNeverUsed() {
        assertThat(firstUse.onEraStated(3, STARTED_MILLIS + 40)).isFalse();
        assertThat(firstUse.onEraStated(3, STARTED_MILLIS + 60_000)).isFalse();
        assertThat(firstUse.isProven()).isTrue();
    }

    @Test
    void logOfAStoreThatHasNotAnsweredMayHaveBeenUsed() {
        assertThat(firstUse.isProven()).isFalse();
    }

    /** Guards against an answer that comes after others led and the store went back. */
    @Test
    void logOfAStoreWhoseFirstAnswerIsLateMayHaveBeenUsed() {
        firstUse.onEraStated(2, STARTED_MILLIS + 1_001);
        assertThat(firstUse.isProven()).isFalse();
    }

    @Test
    void logOfAStoreThatWentBackMayHaveBeenUsed() {
        firstUse.onEraStated(1, STARTED_MILLIS);
        assertThat(firstUse.onEraStated(2, STARTED_MILLIS + 10)).isTrue();
        assertThat(firstUse.isProven()).isFalse();
        assertThat(firstUse.onEraStated(1, STARTED_MILLIS + 20)).isFalse();
        assertThat(firstUse.isProven()).isFalse();
    }

    @Test
    void logMayHaveBeenUsedBeforeARestart() {
        FirstUse restarted = new FirstUse(false, STARTED_MILLIS);
        restarted.onEraStated(1, STARTED_MILLIS);
        assertThat(restarted.isProven()).isFalse();
    }
}
