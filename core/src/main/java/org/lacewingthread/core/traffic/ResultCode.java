package org.lacewingthread.core.traffic;

import java.util.Arrays;
import java.util.Optional;

/** Numbered outcome of a request, stated to the caller and in logs. */
public enum ResultCode {
    /** The owner answered; the answer is whole. */
    DONE(1000, 200, Knowledge.DONE, "the owner answered"),
    /** Not HTTP, or not valid HTTP. */
    MALFORMED_REQUEST(2000, 400, Knowledge.NOT_RUN, "the request is malformed"),
    /** Headers above the limit. */
    HEADERS_TOO_LARGE(2001, 431, Knowledge.NOT_RUN, "the headers are larger than the limit"),
    /** Body above the limit. */
    BODY_TOO_LARGE(2002, 413, Knowledge.NOT_RUN, "the body is larger than the limit"),
    /** The caller's body ended early. */
    BODY_TRUNCATED(2003, 400, Knowledge.NOT_RUN, "the body ended early"),
    /** The caller sent too slowly. */
    CALLER_TOO_SLOW(2004, 408, Knowledge.NOT_RUN, "the request arrived too slowly"),
    /** No application or selector matches. */
    NO_SELECTOR(2010, 404, Knowledge.NOT_RUN, "no selector matches the request"),
    /** The request names an application that is not configured. */
    UNKNOWN_APPLICATION(2011, 404, Knowledge.NOT_RUN, "the application is not configured"),
    /** The selector's key is absent. */
    KEY_MISSING(2012, 400, Knowledge.NOT_RUN, "the request carries no key"),
    /** The deadline header can't be read. */
    BAD_DEADLINE(2013, 400, Knowledge.NOT_RUN, "the deadline is not valid"),
    /** The idempotency key can't be read or is missing where it is required. */
    BAD_IDEMPOTENCY_KEY(2014, 400, Knowledge.NOT_RUN, "the idempotency key is not valid"),
    /** An idempotency key was used again for another request. */
    IDEMPOTENCY_KEY_REUSED(2015, 422, Knowledge.NOT_RUN, "the idempotency key belongs to another request"),
    /** The deadline passed before the request was sent. */
    DEADLINE_PASSED(3000, 504, Knowledge.NOT_RUN, "the deadline passed before the request was sent"),
    /** Queue full or deadline out of reach. */
    OVERLOADED(3001, 503, Knowledge.NOT_RUN, "the owner is overloaded"),
    /** No server owns the key at the moment. */
    NO_OWNER(3002, 503, Knowledge.NOT_RUN, "no server owns the key at the moment"),
    /** The key's data centre can't be reached. */
    DATA_CENTRE_UNREACHABLE(3003, 503, Knowledge.NOT_RUN, "the key's data centre can't be reached"),
    /** This VM's state is not current. */
    NOT_READY(3004, 503, Knowledge.NOT_RUN, "this entry VM is not ready"),
    /** The owner can't be connected to. */
    OWNER_UNREACHABLE(3005, 503, Knowledge.NOT_RUN, "the owner can't be reached"),
    /** The owner refused before running. */
    OWNER_REFUSED(3006, 503, Knowledge.NOT_RUN, "the owner refused the request before running it"),
    /** A route went through too many entry VMs. */
    TOO_MANY_HOPS(3007, 503, Knowledge.NOT_RUN, "the request was relayed too often"),
    /** The caller left before the request was sent. */
    CANCELLED(3008, 499, Knowledge.NOT_RUN, "the caller left before the request was sent"),
    /** A repeat arrived while its first attempt runs. */
    STILL_RUNNING(3009, 409, Knowledge.OUTCOME_UNKNOWN, "an earlier request with this idempotency key still runs"),
    /** The entry VM on the way to the owner can't be connected to. */
    RELAY_UNREACHABLE(3010, 503, Knowledge.NOT_RUN, "the owner's entry VM can't be reached"),
    /** Sent; no whole answer came in time. */
    OUTCOME_UNKNOWN(4000, 504, Knowledge.OUTCOME_UNKNOWN, "the request may have run; no whole answer came in time"),
    /** Sent; the connection failed before the answer was whole. */
    ANSWER_LOST(4001, 502, Knowledge.OUTCOME_UNKNOWN, "the request may have run; its answer was lost"),
    /** A repeat whose first attempt may have run, of which nothing more is known. */
    REPEAT_UNKNOWN(4002, 409, Knowledge.OUTCOME_UNKNOWN, "an earlier attempt may have run; its outcome is not known"),
    /** The relaying entry VM was lost. */
    RELAY_LOST(4003, 502, Knowledge.OUTCOME_UNKNOWN, "the request may have run; the relay to its owner was lost"),
    /** A defect of the router, before the request was sent. */
    INTERNAL_NOT_RUN(5000, 500, Knowledge.NOT_RUN, "the router failed before the request was sent"),
    /** A defect of the router, after the request may have been sent. */
    INTERNAL_UNKNOWN(5001, 500, Knowledge.OUTCOME_UNKNOWN, "the router failed after the request may have been sent");

    /** What is known about whether the request ran. */
    public enum Knowledge {
        /** It ran and its answer is whole. */
        DONE,
        /** It provably did not run and will not. */
        NOT_RUN,
        /** It may have run. */
        OUTCOME_UNKNOWN
    }

    private final int number;
    private final int httpStatus;
    private final Knowledge knowledge;
    private final String message;

    ResultCode(int number, int httpStatus, Knowledge knowledge, String message) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.knowledge = knowledge;
        this.message = message;
    }

    /** Returns the number; it never changes its meaning. */
    public int number() {
        return number;
    }

    /** Returns the HTTP status that goes with it. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns what is known about whether the request ran. */
    public Knowledge knowledge() {
        return knowledge;
    }

    /** Returns the text for the caller. */
    public String message() {
        return message;
    }

    /** Returns the code with a number, if there is one. */
    public static Optional<ResultCode> byNumber(int number) {
        return Arrays.stream(values()).filter(c -> c.number == number).findFirst();
    }
}
