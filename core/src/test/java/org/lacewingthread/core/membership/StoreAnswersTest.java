package org.lacewingthread.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Load: a leader whose reads of the registry hang or come late, while the store answers other calls. */
class StoreAnswersTest {
    private final StoreAnswers answers = new StoreAnswers();
    private final LeadMonitor monitor = new LeadMonitor();

    private void lead(long fromMillis, long toMillis) {
        for (long nowMillis = fromMillis; nowMillis < toMillis; nowMillis += 20) {
            monitor.onTurn(true, 3_000, nowMillis - answers.lastMillis(), nowMillis);
        }
    }

    /** Guards against a leader with an old view that no verdict reaches, since its only measured read waits for a second. */
    @Test
    void joinsAndWaitingReadsShowThatTheStoreAnswers() {
        for (long sentMillis = 1_000; sentMillis < 9_000; sentMillis += 1_000) {
            answers.onAnswered(sentMillis, 1_000, sentMillis + 1_000);
            answers.onAnswered(sentMillis + 500, 0, sentMillis + 510);
            lead(sentMillis + 1_000, sentMillis + 2_000);
        }
        assertThat(monitor.couldLead()).isFalse();
    }

    /** Guards against a verdict on a leader whose store takes a second for each answer. */
    @Test
    void answersOfASlowStoreCountFromTheSendingOfTheirCalls() {
        for (long sentMillis = 1_000; sentMillis < 9_000; sentMillis += 1_100) {
            answers.onAnswered(sentMillis, 0, sentMillis + 1_100);
            lead(sentMillis + 1_100, sentMillis + 2_200);
        }
        assertThat(monitor.couldLead()).isTrue();
        answers.onAnswered(20_000, 300, 21_500);
        assertThat(answers.lastMillis()).isEqualTo(20_300);
    }

    /** Guards against records that arrive during a wait and seem to be answered in the future. */
    @Test
    void readThatIsAnsweredBeforeItsWaitIsOverCountsFromItsAnswer() {
        answers.onAnswered(1_000, 1_000, 1_200);
        answers.onAnswered(900, 0, 1_210);
        assertThat(answers.lastMillis()).isEqualTo(1_200);
    }
}
