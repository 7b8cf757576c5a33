package org.lacewingthread.daemon.explain;

import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;

/** Why a request ended, and which other events bear on it. */
enum EndCause {
    ANSWERED(Set.of(1000), "", Set.of(), end -> "the server answered; its answer was passed on unchanged"),
    NO_ROUTE(
            Set.of(2010),
            "",
            Set.of("configuration.", "store."),
            end -> "no route in force matched it: " + end.text("reason")),
    BAD_REQUEST(Set.of(2000, 2012), "", Set.of(), end -> "the request itself was not valid: " + end.text("reason")),
    NOT_READY(
            Set.of(3004),
            "",
            Set.of("process.", "store.", "configuration."),
            end -> "this VM knew no configuration yet; see when it started and whether it reached the store"),
    DEADLINE_BEFORE_SEND(
            Set.of(3001),
            "deadline",
            Set.of(),
            end -> "it waited for a free place at a server until its deadline passed"),
    OVERLOADED(
            Set.of(3001),
            "",
            Set.of(),
            end -> "no server that may run it had room before its deadline; compare the number of such refusals"),
    OWNER_GONE(
            Set.of(3002),
            "OWNER_GONE",
            Set.of("server.entry-gone", "leadership.", "table.", "store."),
            end -> "the owner of its key had left or was replaced, and no other had taken over yet"),
    NO_OWNER(
            Set.of(3002),
            "",
            Set.of("leadership.", "table.", "range.", "server.orders", "store."),
            end -> "its key had no owner, or was being moved for longer than the request could wait"),
    OWNER_UNREACHABLE(
            Set.of(3005),
            "",
            Set.of("server.orders", "server.entry-gone", "leadership."),
            end -> "connections to the server that may run it could not be made"),
    TURNED_AWAY(
            Set.of(3006),
            "MISDIRECTED",
            Set.of("table.", "range.", "leadership.", "store."),
            end ->
                    "the server did not hold its key: this VM worked with an old table of owners, or the grant was late"),
    SERVER_FULL(Set.of(3006), "", Set.of(), end -> "the server turned it away without running it, most likely full"),
    CALLER_LEFT(Set.of(3008), "", Set.of(), end -> "the caller closed its connection before an answer was there"),
    SERVER_SILENT(
            Set.of(4000),
            "",
            Set.of("server.orders", "server.entry-gone"),
            end -> "server " + end.text("server")
                    + " had it and did not answer before the deadline, so it may have run"),
    NO_SECOND_ATTEMPT(
            Set.of(4001),
            "no second attempt",
            Set.of("server.orders", "server.entry-gone", "table."),
            end -> "an attempt failed after it may have run (" + end.text("tried") + "), and another one was refused: "
                    + end.text("reason")),
    ANSWER_LOST(
            Set.of(4001),
            "",
            Set.of("server.orders", "server.entry-gone"),
            end -> "the connection to the server broke after it was sent, so it may have run: " + end.text("reason")),
    OTHER(Set.of(), "", Set.of("store.", "leadership."), end -> end.text("reason"));

    private final Set<Integer> resultCodes;
    private final String reasonSubstring;
    private final Set<String> relatedEventPrefixes;
    private final Function<LogLine, String> explanation;

    EndCause(Set<Integer> codes, String reasonPart, Set<String> relatedEvents, Function<LogLine, String> sentence) {
        this.resultCodes = codes;
        this.reasonSubstring = reasonPart;
        this.relatedEventPrefixes = relatedEvents;
        this.explanation = sentence;
    }

    /** Finds the cause of a line that ends a request; the first that fits is the most particular. */
    static EndCause of(LogLine end) {
        int code = (int) end.number("code");
        return Stream.of(values())
                .filter(cause ->
                        cause.resultCodes.contains(code) && end.text("reason").contains(cause.reasonSubstring))
                .findFirst()
                .orElse(OTHER);
    }

    /** Returns the cause in a sentence. */
    String explain(LogLine end) {
        return explanation.apply(end);
    }

    /** Tells whether an event may have led to this. */
    boolean isRelatedEvent(String event) {
        return relatedEventPrefixes.stream().anyMatch(event::startsWith);
    }
}
