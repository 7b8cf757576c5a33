package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.dispatch.LoadReport;

class LoadHeaderTest {
    /** Guards against dropping the whole report of a server that also says how slow it is. */
    @Test
    void loadWithThreeOrFourFiguresIsRead() {
        assertThat(RequestHeaders.parseLoad("3, 7,4")).contains(new LoadReport(3, 7, 4));
        assertThat(RequestHeaders.parseLoad("3,7,4, 300")).contains(new LoadReport(3, 7, 4, OptionalDouble.of(3)));
    }

    /** Guards against figures that were never sent. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "3,7",
                "3,7,0",
                "3,7,4,",
                "3,7,4,0",
                "3,7,4,-100",
                "3,7,4,x",
                "3,7,4,100,1",
                "3,7,4,1234567890"
            })
    void anyOtherLoadIsNotRead(String text) {
        assertThat(RequestHeaders.parseLoad(text)).isEmpty();
    }
}
