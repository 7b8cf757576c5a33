package org.lacewingthread.daemon.explain;

import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;

/** Cause of a request's result, with an explanation and the events that may be related to it. */
enum EndCause {
    ANSWERED(Set.of(1000), "", Set.of(), end -> "the server answered, and its response was passed on unchanged"),
    NO_ROUTE(
            Set.of(2010),
            "",
            Set.of("configuration.", "store."),
            end -> "no route of the current configuration matched it: " + end.text("reason")),
    BAD_REQUEST(Set.of(2000, 2012), "", Set.of(), end -> "the request was invalid: " + end.text("reason")),
    NOT_READY(
            Set.of(3004),
            "",
            Set.of("process.", "store.", "configuration."),
            end -> "this VM had no configuration yet; check when it started and whether it could reach the store"),
    DEADLINE_BEFORE_SEND(
            Set.of(3001),
            "deadline",
            Set.of(),
            end -> "its deadline passed while it waited for a free slot on a server"),
    LIMITED(
            Set.of(3001),
            "LIMITED",
            Set.of("server.limit", "limit."),
            end -> "the server that may run it named a limit of requests a second, which was used up"),
    RESTING(
            Set.of(3001),
            "RESTING",
            Set.of("server.rest"),
            end -> "the server that may run it had turned this VM away and wanted no requests of it for a while"),
    OVERLOADED(
            Set.of(3001),
            "",
            Set.of(),
            end -> "no eligible server had capacity before its deadline; compare the number of such refusals"),
    OWNER_GONE(
            Set.of(3002),
            "OWNER_GONE",
            Set.of("server.entry-gone", "registry.", "leadership.", "table.", "store."),
            end -> "the server that owned its key had left or was replaced, and no other server had taken over yet"),
    NO_OWNER(
            Set.of(3002),
            "",
            Set.of("leadership.", "table.", "range.", "server.orders", "store."),
            end -> "its key had no owner, or its key range was moving for longer than the request could wait"),
    REGISTRY_OUTDATED(
            Set.of(3005),
            "REGISTRY_OUTDATED",
            Set.of("registry.", "evacuations.", "store.", "leadership."),
            end ->
                    "this VM had not read the registry, or the evacuations, for so long that any server might have left"),
    EVACUATED(
            Set.of(3005),
            "EVACUATED",
            Set.of("evacuation", "table."),
            end -> "the servers that could run it were in evacuated data centres"),
    OWNER_UNREACHABLE(
            Set.of(3005),
            "",
            Set.of("server.orders", "server.entry-gone", "leadership."),
            end -> "no connection to the server that may run it could be opened"),
    CUT_OFF(
            Set.of(3011),
            "",
            Set.of("servers."),
            end -> "this VM reached no server at the time, and knew no other VM that did"),
    CRASHES_SERVERS(
            Set.of(3012, 4001),
            "ended servers",
            Set.of(),
            end -> "servers ended under copies of it, so it is kept from all others; /quarantine lists and lifts such"
                    + " rejections: " + end.text("reason")),
    TURNED_AWAY(
            Set.of(3006),
            "MISDIRECTED",
            Set.of("table.", "range.", "leadership.", "store."),
            end -> "the server did not own its key: this VM had an outdated table of owners, or the grant was late"),
    SERVER_FULL(
            Set.of(3006),
            "",
            Set.of(),
            end -> "the server rejected it without running it, most likely because it was at capacity"),
    CALLER_LEFT(Set.of(3008), "", Set.of(), end -> "the caller closed its connection before the response was sent"),
    SERVER_SILENT(
            Set.of(4000),
            "",
            Set.of("server.orders", "server.entry-gone"),
            end -> "server " + end.text("server")
                    + " received it and did not respond before the deadline, so it may have run"),
    FALSE_PROMISE(
            Set.of(4004),
            "",
            Set.of("response.replaced", "server."),
            end -> "server " + end.text("server")
                    + " may have run it and answered with a status that promises that it did not, so a failure without"
                    + " that promise was sent in place of its response: " + end.text("reason")),
    NO_SECOND_ATTEMPT(
            Set.of(4001),
            "no second attempt",
            Set.of("server.orders", "server.entry-gone", "table."),
            end -> "an attempt failed after it may have run (" + end.text("tried")
                    + "), and a second attempt was refused: " + end.text("reason")),
    ANSWER_LOST(
            Set.of(4001),
            "",
            Set.of("server.orders", "server.entry-gone"),
            end -> "the connection to the server failed after it was sent, so it may have run: " + end.text("reason")),
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

    /** Returns the first cause whose code and reason match; specific causes are declared before general ones. */
    static EndCause of(LogLine end) {
        int code = (int) end.number("code");
        return Stream.of(values())
                .filter(cause ->
                        cause.resultCodes.contains(code) && end.text("reason").contains(cause.reasonSubstring))
                .findFirst()
                .orElse(OTHER);
    }

    /** Returns the explanation for the request that the log line describes. */
    String explain(LogLine end) {
        return explanation.apply(end);
    }

    /** Returns whether an event with this name may be related to the cause. */
    boolean isRelatedEvent(String event) {
        return relatedEventPrefixes.stream().anyMatch(event::startsWith);
    }
}
