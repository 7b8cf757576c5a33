package org.lacewingthread.daemon.router;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.lacewingthread.core.dispatch.LoadReport;
import org.lacewingthread.core.dispatch.NamedLimit;
import org.lacewingthread.core.keyrange.KeyRange;

/** Parses and copies HTTP headers. */
final class RequestHeaders {
    /** Headers that apply to one connection only, or that the sender of each message sets. */
    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private static final int MAX_DIGITS = 9;
    /** Figures of a load without the optional slowdown. */
    private static final int LOAD_FIGURES = 3;
    /** Slowdown of a server that takes the usual time. */
    private static final double USUAL_SLOWDOWN_PERCENT = 100;

    private static final Pattern LIMIT_PATTERN = Pattern.compile("\\s*[0-9]{1,9}(\\.[0-9]{1,9})?\\s*");

    private RequestHeaders() {}

    /** Copies all headers except those that apply to one connection only. */
    static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        Set<String> listedByConnection = from.getAll(HttpHeaderNames.CONNECTION).stream()
                .flatMap(value -> Stream.of(value.split(",")))
                .map(value -> value.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP_HEADERS.contains(name) && !listedByConnection.contains(name)) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }

    /** Parses a numeric key; empty if it is missing, not a number or out of range. */
    static OptionalInt parseKey(HttpHeaders headers, String name) {
        Optional<Long> value = parseNumber(headers.get(name));
        return value.isPresent() && value.get() <= KeyRange.MAX_KEY
                ? OptionalInt.of(value.get().intValue())
                : OptionalInt.empty();
    }

    /** Parses a deadline in milliseconds and drops its fraction; empty if it is missing or not a number. */
    static Optional<Long> parseDeadlineMillis(HttpHeaders headers, String name) {
        String text = headers.get(name);
        int fraction = text == null ? -1 : text.indexOf('.');
        return parseNumber(fraction < 0 ? text : text.substring(0, fraction));
    }

    /**
     * Parses a server's load: running requests, queued requests and slots, separated by commas, and optionally how long
     * work takes there, in percent of the usual time; empty if the text is not valid.
     */
    static Optional<LoadReport> parseLoad(String text) {
        String[] parts = text.split(",", -1);
        if (parts.length < LOAD_FIGURES || parts.length > LOAD_FIGURES + 1) {
            return Optional.empty();
        }
        List<Integer> figures = Stream.of(parts)
                .flatMap(part -> parseNumber(part.trim()).stream())
                .map(Long::intValue)
                .toList();
        boolean valid = figures.size() == parts.length
                && figures.get(2) > 0
                && (figures.size() == LOAD_FIGURES || figures.get(LOAD_FIGURES) > 0);
        if (!valid) {
            return Optional.empty();
        }
        OptionalDouble slowdown = figures.size() == LOAD_FIGURES
                ? OptionalDouble.empty()
                : OptionalDouble.of(figures.get(LOAD_FIGURES) / USUAL_SLOWDOWN_PERCENT);
        return Optional.of(new LoadReport(figures.get(0), figures.get(1), figures.get(2), slowdown));
    }

    /**
     * Returns the text of the limit that a server names.
     *
     * @param names names of the header; the first one that is present counts
     */
    static Optional<String> limitText(HttpHeaders headers, List<String> names) {
        return names.stream().map(headers::get).filter(Objects::nonNull).findFirst();
    }

    /** Parses a limit of requests a second; empty if the text is not a decimal number. */
    static Optional<NamedLimit> parseLimit(String text) {
        return LIMIT_PATTERN.matcher(text).matches()
                ? Optional.of(new NamedLimit(Double.parseDouble(text.trim())))
                : Optional.empty();
    }

    private static Optional<Long> parseNumber(String text) {
        boolean isNumber = text != null
                && !text.isEmpty()
                && text.length() <= MAX_DIGITS
                && text.chars().allMatch(c -> c >= '0' && c <= '9');
        return isNumber ? Optional.of(Long.parseLong(text)) : Optional.empty();
    }
}
