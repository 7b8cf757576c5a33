package org.lacewingthread.core.traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.traffic.ResultCode.Knowledge;

class ResponseStatusTest {
    /** Guards against a response that promises "not run" although the request may have run. */
    @ParameterizedTest
    @EnumSource(NotRunStatus.class)
    void promiseExistsForRequestsThatDidNotRunOnly(NotRunStatus status) {
        assertThat(ResponseStatus.notRun(status.code()).httpStatus()).isEqualTo(status.code());
        assertThat(ResponseStatus.ofServer(status.code())).isEmpty();
        assertThatThrownBy(() -> new ResponseStatus(status.code(), Knowledge.OUTCOME_UNKNOWN))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining(Integer.toString(status.code()));
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 404, 409, 500, 502, 504})
    void statusThatPromisesNothingIsForwarded(int httpStatus) {
        assertThat(ResponseStatus.ofServer(httpStatus)).contains(new ResponseStatus(httpStatus, Knowledge.DONE));
    }

    /** Guards against a number that is no status of a response on any way to a caller. */
    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 99, 100, 199, 600, 999})
    void numberThatIsNoStatusOfAResponseIsNotForwarded(int number) {
        assertThat(ResponseStatus.ofServer(number)).isEmpty();
        assertThatThrownBy(() -> ResponseStatus.notRun(number))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining(Integer.toString(number));
    }
}
