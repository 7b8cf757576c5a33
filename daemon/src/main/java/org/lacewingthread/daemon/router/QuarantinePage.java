package org.lacewingthread.daemon.router;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.lacewingthread.core.quarantine.CrashRecord;
import org.lacewingthread.core.quarantine.RequestFingerprint;

/**
 * Shows operators the requests that crash servers, and lifts their rejection.
 *
 * <pre>
 * GET  /quarantine                     one line for each request
 * POST /quarantine/lift/FINGERPRINT    sends the request to servers again, at all entry VMs
 * </pre>
 */
final class QuarantinePage {
    static final String PATH = "/quarantine";
    private static final String LIFT = PATH + "/lift/";

    private final Supplier<List<CrashRecord>> records;
    private final Consumer<RequestFingerprint> lifter;
    private final LongSupplier clockUnixMillis;

    QuarantinePage(
            Supplier<List<CrashRecord>> records, Consumer<RequestFingerprint> lifter, LongSupplier clockUnixMillis) {
        this.records = records;
        this.lifter = lifter;
        this.clockUnixMillis = clockUnixMillis;
    }

    /** Returns the page for a request, or what {@code otherPages} returns for the paths of other pages. */
    StatusListener.Page page(HttpMethod method, String target, Function<String, StatusListener.Page> otherPages) {
        if (target.startsWith(LIFT)) {
            return lift(method, target.substring(LIFT.length()));
        }
        return target.equals(PATH) ? list() : otherPages.apply(target);
    }

    private StatusListener.Page list() {
        String lines = records.get().stream().map(this::line).collect(Collectors.joining());
        return new StatusListener.Page(HttpResponseStatus.OK, lines);
    }

    private String line(CrashRecord known) {
        String state = known.isRejected() ? "rejected" : known.isSuspect() ? "suspected" : "noticed";
        return String.format(
                Locale.ROOT,
                "%s %s ended_servers=%d trials=%d last_crash_ago_ms=%d %s%n",
                known.fingerprint(),
                state,
                known.endedServers().size(),
                known.trials(),
                clockUnixMillis.getAsLong() - known.lastCrashUnixMillis(),
                known.description());
    }

    private StatusListener.Page lift(HttpMethod method, String fingerprint) {
        if (!method.equals(HttpMethod.POST)) {
            return new StatusListener.Page(HttpResponseStatus.METHOD_NOT_ALLOWED, "use POST to lift a rejection\n");
        }
        Optional<CrashRecord> known = records.get().stream()
                .filter(each -> each.fingerprint().hex().equals(fingerprint))
                .findFirst();
        if (known.isEmpty()) {
            return new StatusListener.Page(
                    HttpResponseStatus.NOT_FOUND,
                    "request \"" + fingerprint + "\" is not known here; GET " + PATH + " lists those that are\n");
        }
        lifter.accept(known.get().fingerprint());
        return new StatusListener.Page(HttpResponseStatus.ACCEPTED, "lifted " + line(known.get()));
    }
}
