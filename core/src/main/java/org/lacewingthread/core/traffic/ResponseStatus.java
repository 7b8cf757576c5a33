package org.lacewingthread.core.traffic;

import java.util.Optional;
import org.lacewingthread.core.traffic.ResultCode.Knowledge;

/**
 * HTTP status of a response to a caller, with what is known about whether the request ran. A status that promises that it
 * did not run exists for requests that provably did not run only, so that no code path can send it for another one.
 *
 * <pre>{@code
 * ResponseStatus.ofServer(500); // present: a failure that promises nothing may be forwarded
 * ResponseStatus.ofServer(503); // empty: the server ran the request, so this response must be replaced
 * ResponseStatus.notRun(503);   // a refusal of the router's own, before the request was sent
 * }</pre>
 *
 * @param httpStatus HTTP status code
 * @param knowledge what is known about whether the request ran
 */
public record ResponseStatus(int httpStatus, Knowledge knowledge) {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;

    /**
     * Rejects a promise for a request that may have run, and a number that is no status of a final response, with {@link
     * IllegalArgumentException}.
     */
    public ResponseStatus {
        if (!isFinalStatus(httpStatus)) {
            throw new IllegalArgumentException("HTTP status " + httpStatus
                    + " is no status of a final response; expected " + FIRST_FINAL_STATUS + " to " + LAST_STATUS);
        }
        if (NotRunStatus.includes(httpStatus) && knowledge != Knowledge.NOT_RUN) {
            throw new IllegalArgumentException("HTTP status " + httpStatus
                    + " promises that the request did not run, but it is known as " + knowledge
                    + "; use a status that promises nothing, such as 502");
        }
    }

    /**
     * Returns the status with which the response of a server that ran the request is forwarded; empty if it promises that
     * the request did not run, or is no status of a final response, so that the response must not be forwarded.
     */
    public static Optional<ResponseStatus> ofServer(int httpStatus) {
        return NotRunStatus.includes(httpStatus) || !isFinalStatus(httpStatus)
                ? Optional.empty()
                : Optional.of(new ResponseStatus(httpStatus, Knowledge.DONE));
    }

    private static boolean isFinalStatus(int httpStatus) {
        return httpStatus >= FIRST_FINAL_STATUS && httpStatus <= LAST_STATUS;
    }

    /** Returns the status of a refusal; the request provably did not run and never will. */
    public static ResponseStatus notRun(int httpStatus) {
        return new ResponseStatus(httpStatus, Knowledge.NOT_RUN);
    }
}
