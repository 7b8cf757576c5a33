package org.lacewingthread.daemon.explain;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.lacewingthread.core.traffic.ResultCode;

/**
 * Explains the result of one request from the logs of several VMs: how it ended, the probable cause, and related
 * events shortly before.
 *
 * <pre>{@code
 * Optional<RequestExplanation> explanation = RequestExplanation.find("9c41d07be2a35f68", List.of(Path.of("vm-1.log")));
 * explanation.ifPresent(found -> System.out.println(found.text()));
 * }</pre>
 */
public final class RequestExplanation {
    /** Time before the end of the request in which events may be related; holds and leader changes take less. */
    private static final long RELATED_EVENT_WINDOW_MILLIS = 10_000;
    /** Requests to the service that ended with the same code within this time before or after are counted. */
    private static final long SAME_CODE_WINDOW_MILLIS = 1_000;
    /** Maximum number of related events; the latest ones are kept. */
    private static final int MAX_RELATED_EVENTS = 12;

    private static final Pattern SERVER_ID = Pattern.compile("i-[0-9A-Za-z]+");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LogLine end;
    private final EndCause cause;
    private final List<LogLine> relatedEvents;
    private final long sameCodeCount;

    private RequestExplanation(LogLine end, List<LogLine> lines) {
        this.end = end;
        this.cause = EndCause.of(end);
        List<String> serverIds = serverIds();
        List<LogLine> before = lines.stream()
                .filter(line -> !line.fields().has("request") || isAboutCopies(line))
                .filter(line -> line.atUnixMillis() <= end.atUnixMillis()
                        && line.atUnixMillis() > end.atUnixMillis() - RELATED_EVENT_WINDOW_MILLIS)
                .filter(line -> isRelatedEvent(line, serverIds))
                .sorted(Comparator.comparingLong(LogLine::atUnixMillis))
                .toList();
        this.relatedEvents = before.subList(Math.max(0, before.size() - MAX_RELATED_EVENTS), before.size());
        this.sameCodeCount = lines.stream()
                .filter(line -> line.fields().has("request") && line.number("code") == end.number("code"))
                .filter(line -> line.text("service").equals(end.text("service")))
                .filter(line -> Math.abs(line.atUnixMillis() - end.atUnixMillis()) <= SAME_CODE_WINDOW_MILLIS)
                .count();
    }

    /**
     * Finds the log line of a request's result and explains it.
     *
     * @param request request id
     * @param files log files; lines that are not events are ignored
     * @return empty if no line has the result of this request
     * @throws IOException if a file can't be read or is not UTF-8
     */
    public static Optional<RequestExplanation> find(String request, List<Path> files) throws IOException {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : files) {
            try (Stream<String> text = Files.lines(file)) {
                text.map(LogLine::parse).flatMap(Optional::stream).forEach(lines::add);
            } catch (java.io.UncheckedIOException e) {
                throw e.getCause() instanceof MalformedInputException
                        ? new IOException("\"" + file + "\" is not UTF-8 text", e)
                        : e.getCause();
            }
        }
        return lines.stream()
                .filter(line ->
                        line.text("request").equals(request) && line.fields().has("code"))
                .max(Comparator.comparingLong(LogLine::atUnixMillis))
                .map(end -> new RequestExplanation(end, lines));
    }

    private List<String> serverIds() {
        Matcher ids = SERVER_ID.matcher(end.text("tried") + " " + end.text("server") + " " + end.text("reason"));
        return ids.results().map(result -> result.group()).distinct().toList();
    }

    private boolean isRelatedEvent(LogLine line, List<String> serverIds) {
        boolean dropped = line.event().equals("log.dropped") && line.vm().equals(end.vm());
        if (dropped || isAboutCopies(line)) {
            return true;
        }
        if (!cause.isRelatedEvent(line.event())) {
            return false;
        }
        boolean cluster = line.event().startsWith("leadership.") || line.event().equals("table.not-recorded");
        boolean sameVm = line.vm().equals(end.vm()) && !line.event().startsWith("server.");
        boolean aboutServer = serverIds.stream().anyMatch(id -> line.details().contains(id));
        return cluster || sameVm || aboutServer;
    }

    /** Returns whether a line is about requests that are alike, with this one among them. */
    private boolean isAboutCopies(LogLine line) {
        return line.fields().has("fingerprint")
                && (line.text("request").equals(end.text("request"))
                        || end.text("reason").contains(line.text("fingerprint")));
    }

    /** Returns the explanation as text of several lines. */
    public String text() {
        StringBuilder text = new StringBuilder();
        text.append("request ").append(end.text("request")).append(" ended on ").append(end.vm());
        text.append(" at ").append(Instant.ofEpochMilli(end.atUnixMillis()));
        if (end.fields().has("elapsed_ms")) {
            text.append(" after ").append(end.number("elapsed_ms")).append(" ms");
        }
        text.append("\n  ").append(describeCode()).append('\n');
        text.append("  ").append(end.details()).append('\n');
        text.append("cause: ").append(cause.explain(end)).append('\n');
        text.append(sameCodeCount - 1).append(" other requests to the service ended with the same code within 1 s\n");
        if (!relatedEvents.isEmpty()) {
            text.append("related events before:\n");
        }
        for (LogLine line : relatedEvents) {
            double secondsBefore = (line.atUnixMillis() - end.atUnixMillis()) / 1e3;
            text.append(String.format(
                    Locale.ROOT, "  %.3f s %s %s %s%n", secondsBefore, line.vm(), line.event(), line.details()));
        }
        return text.toString();
    }

    private String describeCode() {
        int number = (int) end.number("code");
        return ResultCode.byNumber(number)
                .map(code -> number + " " + code + ", "
                        + code.knowledge().toString().toLowerCase(Locale.ROOT).replace('_', ' ') + ": "
                        + code.message())
                .orElse(number + ", a code unknown to this version");
    }

    /** Returns the explanation as one JSON object. */
    public String json() {
        ObjectNode root = MAPPER.createObjectNode();
        root.set("end", end.json());
        root.put("cause", cause.name()).put("explanation", cause.explain(end)).put("others_alike", sameCodeCount - 1);
        ArrayNode before = root.putArray("noted_before");
        relatedEvents.forEach(line -> before.add(line.json()));
        return root.toString();
    }
}
