package org.lacewingthread.core.routing;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Reads paths and queries as a backend server would, so that no spelling of a path reaches a handler
 * under the selector of another.
 */
final class RequestTarget {
    private static final int HEX_RADIX = 16;
    private static final int ESCAPE_LENGTH_CHARS = 3;
    private static final int FIRST_PRINTABLE_CHARACTER = 0x20;
    private static final int DELETE_CHARACTER = 0x7f;

    private RequestTarget() {}

    /**
     * Returns a path with its escapes resolved, or null if it may mean another path to a backend
     * server: an escaped slash, a backslash, a control character, an empty segment, "." or "..".
     */
    static String canonicalPath(String path) {
        if (!path.startsWith("/") || hasEscapedSeparator(path)) {
            return null;
        }
        String decoded = path.indexOf('%') < 0 ? path : percentDecode(path);
        return decoded == null || hasAmbiguousSegment(decoded) ? null : decoded;
    }

    private static boolean hasEscapedSeparator(String path) {
        for (int at = path.indexOf('%'); at >= 0; at = path.indexOf('%', at + 1)) {
            if (path.regionMatches(true, at, "%2f", 0, ESCAPE_LENGTH_CHARS)
                    || path.regionMatches(true, at, "%3b", 0, ESCAPE_LENGTH_CHARS)) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasAmbiguousSegment(String path) {
        int length = path.length();
        for (int i = 0; i < length; i++) {
            char c = path.charAt(i);
            if (c == '\\' || c < FIRST_PRINTABLE_CHARACTER || c == DELETE_CHARACTER) {
                return true;
            }
            if (c == '/' && isAmbiguousSegment(path, i + 1)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the segment that starts at a position is empty (but not the last), "." or "..". */
    private static boolean isAmbiguousSegment(String path, int start) {
        int end = start;
        while (end < path.length() && path.charAt(end) == '.') {
            end++;
        }
        boolean ends = end == path.length() || isSegmentEnd(path.charAt(end));
        int dots = end - start;
        boolean emptyLast = dots == 0 && end == path.length();
        return ends && dots <= 2 && !emptyLast;
    }

    /** Returns whether a character ends the name of a segment. */
    static boolean isSegmentEnd(char c) {
        return c == '/' || c == ';';
    }

    /** Returns whether a path lies under a prefix, by whole segments. */
    static boolean isUnder(String path, String prefix) {
        if (!path.startsWith(prefix)) {
            return false;
        }
        int length = prefix.length();
        return length == path.length() || prefix.charAt(length - 1) == '/' || isSegmentEnd(path.charAt(length));
    }

    /** Returns a segment of a path without its parameters, empty if there is none. */
    static String pathSegment(String path, int position) {
        int start = 1;
        for (int i = 0; i < position; i++) {
            int slash = path.indexOf('/', start);
            if (slash < 0) {
                return "";
            }
            start = slash + 1;
        }
        int end = start;
        while (end < path.length() && !isSegmentEnd(path.charAt(end))) {
            end++;
        }
        return path.substring(start, end);
    }

    /** Returns the value of a query parameter, or null if it is absent, given twice or badly escaped. */
    static String queryParameter(String query, String name) {
        String found = null;
        int start = 0;
        while (start <= query.length()) {
            int end = query.indexOf('&', start);
            end = end < 0 ? query.length() : end;
            int equals = query.indexOf('=', start);
            if (equals >= start && equals < end && name.equals(decodeFormValue(query.substring(start, equals)))) {
                if (found != null) {
                    return null;
                }
                found = decodeFormValue(query.substring(equals + 1, end));
            }
            start = end + 1;
        }
        return found;
    }

    private static String decodeFormValue(String text) {
        String spaced = text.replace('+', ' ');
        return spaced.indexOf('%') < 0 ? spaced : percentDecode(spaced);
    }

    /** Resolves escapes; returns null if they are cut short or do not give UTF-8. */
    private static String percentDecode(String text) {
        byte[] source = text.getBytes(StandardCharsets.UTF_8);
        ByteBuffer target = ByteBuffer.allocate(source.length);
        for (int i = 0; i < source.length; i++) {
            if (source[i] != '%') {
                target.put(source[i]);
                continue;
            }
            if (i + 2 >= source.length) {
                return null;
            }
            int high = Character.digit(source[i + 1], HEX_RADIX);
            int low = Character.digit(source[i + 2], HEX_RADIX);
            if (high < 0 || low < 0) {
                return null;
            }
            target.put((byte) (high * HEX_RADIX + low));
            i += 2;
        }
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(target.flip()).toString();
        } catch (CharacterCodingException e) {
            return null;
        }
    }
}
