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
}
