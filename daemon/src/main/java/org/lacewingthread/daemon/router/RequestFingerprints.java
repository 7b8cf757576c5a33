package org.lacewingthread.daemon.router;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;
import org.lacewingthread.core.quarantine.RequestFingerprint;

/** Computes the fingerprints of callers' requests. */
final class RequestFingerprints {
    private static final Pattern PORT = Pattern.compile(":[0-9]*$");

    private RequestFingerprints() {}

    /**
     * Returns the fingerprint of a request: method, host without port, target, key, credentials and body. Ids, deadlines and
     * what belongs to one connection differ between copies of a request, and cookies may.
     */
    static RequestFingerprint of(ActiveRequest request) {
        if (request.fingerprint.isEmpty()) {
            List<String> fields = List.of(
                    request.callerRequest.method(),
                    host(request),
                    request.callerRequest.target(),
                    request.key.isPresent() ? Integer.toString(request.key.getAsInt()) : "",
                    header(request, HttpHeaderNames.AUTHORIZATION));
            request.fingerprint =
                    Optional.of(RequestFingerprint.of(fields, ByteBufUtil.getBytes(request.callerRequest.body())));
        }
        return request.fingerprint.get();
    }

    /** Returns method, host and target, for operators. */
    static String describe(ActiveRequest request) {
        return request.callerRequest.method() + " " + host(request) + request.callerRequest.target();
    }

    private static String host(ActiveRequest request) {
        return PORT.matcher(header(request, HttpHeaderNames.HOST))
                .replaceFirst("")
                .toLowerCase(Locale.ROOT);
    }

    private static String header(ActiveRequest request, CharSequence name) {
        return Optional.ofNullable(request.callerRequest.headers().get(name)).orElse("");
    }
}
