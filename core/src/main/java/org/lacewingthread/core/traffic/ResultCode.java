package org.lacewingthread.core.traffic;

import java.util.Arrays;
import java.util.Optional;

/** Numbered outcome of a request, sent to the caller and written to logs. */
public enum ResultCode {
    /** The owner sent a complete response. */
    DONE(1000, 200, Knowledge.DONE, "the owner answered"),
    /** The request is not valid HTTP. */
    MALFORMED_REQUEST(2000, 400, Knowledge.NOT_RUN, "the request is malformed"),
    /** The headers exceed the limit. */
    HEADERS_TOO_LARGE(2001, 431, Knowledge.NOT_RUN, "the headers are larger than the limit"),
    /** The body exceeds the limit. */
    BODY_TOO_LARGE(2002, 413, Knowledge.NOT_RUN, "the body is larger than the limit"),
    /** The body ended before its declared length. */
    BODY_TRUNCATED(2003, 400, Knowledge.NOT_RUN, "the body ended early"),
    /** The request was received too slowly. */
    CALLER_TOO_SLOW(2004, 408, Knowledge.NOT_RUN, "the request arrived too slowly"),
    /** No application or selector matches the request. */
    NO_SELECTOR(2010, 404, Knowledge.NOT_RUN, "no selector matches the request"),
    /** The request names an application that is not configured. */
    UNKNOWN_APPLICATION(2011, 404, Knowledge.NOT_RUN, "the application is not configured"),
    /** The request lacks the key that the selector requires. */
    KEY_MISSING(2012, 400, Knowledge.NOT_RUN, "the request carries no key"),
    /** The deadline header is not valid. */
    BAD_DEADLINE(2013, 400, Knowledge.NOT_RUN, "the deadline is not valid"),
    /** The idempotency key is not valid, or missing where it is required. */
    BAD_IDEMPOTENCY_KEY(2014, 400, Knowledge.NOT_RUN, "the idempotency key is not valid"),
    /** The idempotency key was already used for another request. */
    IDEMPOTENCY_KEY_REUSED(2015, 422, Knowledge.NOT_RUN, "the idempotency key belongs to another request"),
    /** The deadline passed before the request was sent. */
    DEADLINE_PASSED(3000, 504, Knowledge.NOT_RUN, "the deadline passed before the request was sent"),
    /** The queue is full or the deadline can't be met. */
    OVERLOADED(3001, 503, Knowledge.NOT_RUN, "the owner is overloaded"),
    /** No server currently owns the key. */
    NO_OWNER(3002, 503, Knowledge.NOT_RUN, "no server owns the key at the moment"),
    /** The data centre that serves the key is unreachable. */
    DATA_CENTRE_UNREACHABLE(3003, 503, Knowledge.NOT_RUN, "the key's data centre can't be reached"),
    /** The state of this entry VM is not up to date. */
    NOT_READY(3004, 503, Knowledge.NOT_RUN, "this entry VM is not ready"),
    /** No connection to the owner can be opened. */
    OWNER_UNREACHABLE(3005, 503, Knowledge.NOT_RUN, "the owner can't be reached"),
    /** The owner refused the request before running it. */
    OWNER_REFUSED(3006, 503, Knowledge.NOT_RUN, "the owner refused the request before running it"),
    /** The request was relayed through too many entry VMs. */
    TOO_MANY_HOPS(3007, 503, Knowledge.NOT_RUN, "the request was relayed too often"),
    /** The caller disconnected before the request was sent. */
    CANCELLED(3008, 499, Knowledge.NOT_RUN, "the caller left before the request was sent"),
    /** A repeat arrived while an earlier attempt still runs. */
    STILL_RUNNING(3009, 409, Knowledge.OUTCOME_UNKNOWN, "an earlier request with this idempotency key still runs"),
    /** No connection to the entry VM that relays to the owner can be opened. */
    RELAY_UNREACHABLE(3010, 503, Knowledge.NOT_RUN, "the owner's entry VM can't be reached"),
    /** Neither this entry VM nor another one that it knows reaches a server. */
    SERVERS_UNREACHABLE(3011, 503, Knowledge.NOT_RUN, "no server can be reached from here at the moment"),
    /** Servers ended under earlier copies of the request, so that it is kept from others. */
    CRASHES_SERVERS(3012, 503, Knowledge.NOT_RUN, "earlier copies of the request ended their servers"),
    /** The request was sent and no complete response arrived in time. */
    OUTCOME_UNKNOWN(4000, 504, Knowledge.OUTCOME_UNKNOWN, "the request may have run; no whole answer came in time"),
    /** The request was sent and the connection failed before the response was complete. */
    ANSWER_LOST(4001, 502, Knowledge.OUTCOME_UNKNOWN, "the request may have run; its answer was lost"),
    /** A repeat arrived whose earlier attempt may have run with an unknown outcome. */
    REPEAT_UNKNOWN(4002, 409, Knowledge.OUTCOME_UNKNOWN, "an earlier attempt may have run; its outcome is not known"),
    /** The connection to the relaying entry VM was lost. */
    RELAY_LOST(4003, 502, Knowledge.OUTCOME_UNKNOWN, "the request may have run; the relay to its owner was lost"),
    /** The server answered a request that may have run with a status that promises that it did not run. */
    SERVER_FAILED(4004, 502, Knowledge.OUTCOME_UNKNOWN, "the request may have run; its server failed it"),
    /** The router failed internally before the request was sent. */
    INTERNAL_NOT_RUN(5000, 500, Knowledge.NOT_RUN, "the router failed before the request was sent"),
    /** The router failed internally after the request may have been sent. */
    INTERNAL_UNKNOWN(5001, 500, Knowledge.OUTCOME_UNKNOWN, "the router failed after the request may have been sent");

    /** Knowledge about whether a request ran. */
    public enum Knowledge {
        /** The request ran and its response is complete. */
        DONE,
        /** The request provably did not run and never will. */
        NOT_RUN,
        /** The request may have run. */
        OUTCOME_UNKNOWN
    }

    /** As long as the longest delay that an overloaded server causes. */
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    private final int number;
    private final ResponseStatus status;
    private final String message;

    ResultCode(int number, int httpStatus, Knowledge knowledge, String message) {
        this.number = number;
        this.status = new ResponseStatus(httpStatus, knowledge);
        this.message = message;
    }

    /** Returns the number; the meaning of a number never changes. */
    public int number() {
        return number;
    }

    /** Returns the status that is sent with this code. */
    public ResponseStatus status() {
        return status;
    }

    /** Returns the HTTP status that is sent with this code. */
    public int httpStatus() {
        return status.httpStatus();
    }

    /**
     * Returns the delay to state in Retry-After where a refusal has no known end, in milliseconds; 0 for codes that are not
     * answered with 503.
     */
    public long defaultRetryAfterMillis() {
        return httpStatus() == NotRunStatus.SERVICE_UNAVAILABLE.code() ? DEFAULT_RETRY_AFTER_MILLIS : 0;
    }

    /** Returns what is known about whether the request ran. */
    public Knowledge knowledge() {
        return status.knowledge();
    }

    /** Returns the message that is sent to the caller. */
    public String message() {
        return message;
    }

    /** Returns the code with the given number, or empty if there is none. */
    public static Optional<ResultCode> byNumber(int number) {
        return Arrays.stream(values()).filter(c -> c.number == number).findFirst();
    }
}
