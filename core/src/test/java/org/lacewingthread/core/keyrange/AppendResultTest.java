package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class AppendResultTest {
    @Test
    void recordedResultHasTheNewEndAndOthersHaveNone() {
        assertThat(AppendResult.recorded(7))
                .isEqualTo(new AppendResult(AppendResult.Outcome.RECORDED, OptionalLong.of(7)));
        assertThat(AppendResult.refused())
                .isEqualTo(new AppendResult(AppendResult.Outcome.REFUSED, OptionalLong.empty()));
        assertThat(AppendResult.unknown())
                .isEqualTo(new AppendResult(AppendResult.Outcome.UNKNOWN, OptionalLong.empty()));
    }

    @Test
    void resultIsRejectedWhenTheNewEndDoesNotFitTheOutcome() {
        assertThatIllegalArgumentException()
                .isThrownBy(() -> new AppendResult(AppendResult.Outcome.RECORDED, OptionalLong.empty()))
                .withMessageContaining("RECORDED");
        assertThatIllegalArgumentException()
                .isThrownBy(() -> new AppendResult(AppendResult.Outcome.REFUSED, OptionalLong.of(7)))
                .withMessageContaining("REFUSED");
        assertThatIllegalArgumentException()
                .isThrownBy(() -> new AppendResult(AppendResult.Outcome.UNKNOWN, OptionalLong.of(7)))
                .withMessageContaining("UNKNOWN");
        assertThatIllegalArgumentException().isThrownBy(() -> AppendResult.recorded(0));
    }
}
