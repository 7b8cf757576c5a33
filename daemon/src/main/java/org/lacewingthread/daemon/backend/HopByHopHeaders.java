package org.lacewingthread.daemon.backend;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.lacewingthread.daemon.exchange.HeaderField;

/** Distinguishes hop-by-hop header fields, which belong to one connection, from end-to-end fields. */
public final class HopByHopHeaders {
    private static final Set<String> NAMES = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect");

    private HopByHopHeaders() {}

    /** Returns whether a header field is hop-by-hop by its name, in any case. */
    public static boolean isHopByHop(String name) {
        return NAMES.contains(name.toLowerCase(Locale.ROOT));
    }

    /** Returns the end-to-end fields of a message, without the fields named in its Connection header. */
    public static List<HeaderField> endToEnd(HeaderMap headers) {
        Set<String> named = namedByConnection(headers);
        List<HeaderField> fields = new ArrayList<>(headers.size());
        for (HeaderValues values : headers) {
            String name = values.getHeaderName().toString();
            if (isHopByHop(name) || named.contains(name.toLowerCase(Locale.ROOT))) {
                continue;
            }
            values.forEach(value -> fields.add(new HeaderField(name, value)));
        }
        return fields;
    }

    private static Set<String> namedByConnection(HeaderMap headers) {
        HeaderValues connection = headers.get("Connection");
        if (connection == null) {
            return Set.of();
        }
        Set<String> named = new HashSet<>();
        for (String value : connection) {
            for (String name : value.split(",")) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return named;
    }
}
