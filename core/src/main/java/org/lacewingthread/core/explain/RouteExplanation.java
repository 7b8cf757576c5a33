package org.lacewingthread.core.explain;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.lacewingthread.core.dispatch.DispatchDescription;
import org.lacewingthread.core.dispatch.DispatchDescription.Outcome;
import org.lacewingthread.core.dispatch.RefusalCause;
import org.lacewingthread.core.serving.RouteResolution;
import org.lacewingthread.core.traffic.ResultCode;

/**
 * Where a request would go now, and why.
 *
 * @param question the request
 * @param configurationVersion version of the newest configuration; empty until one has been read
 * @param resolution route, service and key
 * @param dispatch decision about the request; empty if it is refused before
 * @param ages ages of the views behind the decision
 * @param relayed whether another entry VM would be asked, since this one can't reach the servers
 * @param notes what else may decide about the request
 */
public record RouteExplanation(
        RouteQuestion question,
        OptionalLong configurationVersion,
        RouteResolution resolution,
        Optional<DispatchDescription> dispatch,
        ViewAges ages,
        boolean relayed,
        List<String> notes) {
    /** Copies the notes. */
    public RouteExplanation {
        notes = List.copyOf(notes);
    }

    /** Returns the code with which the request would be refused; empty if it would not, or if another VM is asked. */
    public Optional<ResultCode> refusal() {
        if (relayed) {
            return Optional.empty();
        }
        return resolution.failure().or(() -> dispatch.filter(decided -> decided.outcome() == Outcome.REFUSE)
                .flatMap(DispatchDescription::cause)
                .map(RefusalCause::resultCode));
    }

    /** Returns the mean delay in the Retry-After of the refusal; empty if it has none. */
    public OptionalLong retryAfterMillis() {
        long millis = dispatch.map(DispatchDescription::retryAfterMillis).orElse(0L);
        long statedMillis = refusal()
                .map(code -> millis > 0 ? millis : code.defaultRetryAfterMillis())
                .orElse(0L);
        return statedMillis > 0 ? OptionalLong.of(statedMillis) : OptionalLong.empty();
    }

    /** Returns the code of the refusal that follows if the request waits and the wait doesn't end in time. */
    public Optional<ResultCode> refusalAfterWait() {
        return dispatch.filter(decided -> decided.outcome() == Outcome.WAIT)
                .flatMap(DispatchDescription::cause)
                .map(RefusalCause::resultCode);
    }
}
