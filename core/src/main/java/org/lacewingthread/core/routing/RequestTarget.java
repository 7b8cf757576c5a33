package org.lacewingthread.core.routing;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Parses paths and queries the way a backend server does, so that no alternative encoding of a path is matched
 * by one selector and then handled as another path by the server.
 */
final class RequestTarget {
    private static final int HEX_RADIX = 16;
    private static final int ESCAPE_LENGTH_CHARS = 3;
    private static final int FIRST_PRINTABLE_CHARACTER = 0x20;
    private static final int DELETE_CHARACTER = 0x7f;

    private RequestTarget() {}

    /**
     * Returns a path percent-decoded, or null if a backend server may interpret it as a different path: it
     * contains an escaped slash or semicolon, a backslash, a control character, an invalid escape, an empty
     * segment other than the last, "." or "..", or does not start with a slash.
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

    /** Returns whether the segment that starts at a position is "." or "..", or is empty and not the last one. */
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

    /** Returns whether a character ends the name of a segment: a slash, or the semicolon before its parameters. */
    static boolean isSegmentEnd(char c) {
        return c == '/' || c == ';';
    }

    /** Returns whether a path starts with a prefix that ends at the end of a segment. */
    static boolean isUnder(String path, String prefix) {
        if (!path.startsWith(prefix)) {
            return false;
        }
        int length = prefix.length();
        return length == path.length() || prefix.charAt(length - 1) == '/' || isSegmentEnd(path.charAt(length));
    }

    /** Returns the segment at a position, counted from 0, without its parameters; empty if there is no such segment. */
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

    /** Returns the value of a query parameter, or null if it is absent, given more than once or invalidly escaped. */
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

    /** Returns a text percent-decoded, or null if an escape is incomplete or invalid or the result is not UTF-8. */
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
