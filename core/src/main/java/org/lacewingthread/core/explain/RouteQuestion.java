package org.lacewingthread.core.explain;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.lacewingthread.core.keyrange.KeyRange;

/**
 * The request that an operator asks about.
 *
 * @param method HTTP method
 * @param host value of the Host header
 * @param path request target
 * @param key key; empty if the request has none
 * @param deadlineMillis how long the caller waits; empty if it doesn't say
 */
public record RouteQuestion(String method, String host, String path, OptionalInt key, OptionalLong deadlineMillis) {
    /** Name of the parameter with the method. */
    public static final String METHOD = "method";

    /** Name of the parameter with the host. */
    public static final String HOST = "host";

    /** Name of the parameter with the path, to which a query may belong. */
    public static final String PATH = "path";

    /** Name of the parameter with the key. */
    public static final String KEY = "key";

    /** Name of the parameter with the deadline in milliseconds. */
    public static final String DEADLINE_MILLIS = "deadline_ms";

    private static final int MAX_HOST_CHARS = 255;
    private static final int MAX_PATH_CHARS = 2_048;
    private static final int MAX_DIGITS = 9;

    /**
     * Parses parameters by their names.
     *
     * @throws IllegalArgumentException if one is missing or not valid; the message quotes it and tells what to give
     */
    public static RouteQuestion parse(Map<String, String> parameters) {
        String method = parameters.getOrDefault(METHOD, "GET");
        if (!method.matches("[A-Za-z]{1,20}")) {
            throw new IllegalArgumentException("method \"" + shortened(method) + "\" is not valid; give one like GET");
        }
        return new RouteQuestion(
                method.toUpperCase(Locale.ROOT),
                host(parameters),
                path(parameters),
                key(parameters.get(KEY)),
                deadlineMillis(parameters.get(DEADLINE_MILLIS)));
    }

    private static String host(Map<String, String> parameters) {
        String host = parameters.getOrDefault(HOST, "");
        if (host.isEmpty()) {
            throw new IllegalArgumentException("host \"\" is empty or missing in " + given(parameters)
                    + "; give the host name that the caller uses");
        }
        if (host.length() > MAX_HOST_CHARS || host.chars().anyMatch(c -> c <= ' ' || c == '/')) {
            throw new IllegalArgumentException(
                    "host \"" + shortened(host) + "\" is not a host name; give only the name, without scheme and path");
        }
        return host;
    }

    private static String path(Map<String, String> parameters) {
        String path = parameters.getOrDefault(PATH, "");
        if (path.isEmpty()) {
            throw new IllegalArgumentException(
                    "path \"\" is empty or missing in " + given(parameters) + "; give a path like /orders/17");
        }
        if (!path.startsWith("/")) {
            throw new IllegalArgumentException(
                    "path \"" + shortened(path) + "\" does not begin with a slash; give a path like /orders/17");
        }
        if (path.length() > MAX_PATH_CHARS) {
            throw new IllegalArgumentException("path \"" + shortened(path) + "\" has " + path.length()
                    + " characters; give at most " + MAX_PATH_CHARS);
        }
        return path;
    }

    private static OptionalInt key(String text) {
        if (text == null) {
            return OptionalInt.empty();
        }
        if (!isNumber(text) || Integer.parseInt(text) > KeyRange.MAX_KEY) {
            throw new IllegalArgumentException(
                    "key \"" + shortened(text) + "\" is not a number from 0 to " + KeyRange.MAX_KEY);
        }
        return OptionalInt.of(Integer.parseInt(text));
    }

    private static OptionalLong deadlineMillis(String text) {
        if (text == null) {
            return OptionalLong.empty();
        }
        if (!isNumber(text)) {
            throw new IllegalArgumentException("deadline \"" + shortened(text)
                    + "\" is not a number of milliseconds; give one like 800, or leave it out for the route's timeout");
        }
        return OptionalLong.of(Long.parseLong(text));
    }

    private static boolean isNumber(String text) {
        return !text.isEmpty() && text.length() <= MAX_DIGITS && text.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    private static String given(Map<String, String> parameters) {
        return "\""
                + shortened(String.join(
                        "&",
                        parameters.entrySet().stream()
                                .map(entry -> entry.getKey() + "=" + entry.getValue())
                                .sorted()
                                .toList()))
                + "\"";
    }

    private static String shortened(String text) {
        int maxQuotedChars = 100;
        return Optional.of(text)
                .filter(all -> all.length() > maxQuotedChars)
                .map(all -> all.substring(0, maxQuotedChars) + "...")
                .orElse(text);
    }
}
