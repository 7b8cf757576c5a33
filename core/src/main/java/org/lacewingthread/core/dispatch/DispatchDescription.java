package org.lacewingthread.core.dispatch;

import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.keyrange.RangeOwnership;

/**
 * What would be decided about a request now.
 *
 * @param outcome the decision
 * @param cause cause of a refusal, or of the refusal that follows a wait which doesn't end in time; empty otherwise
 * @param retryAfterMillis mean delay after which a refused caller comes back; 0 unless it is refused
 * @param server server that gets the request, is asked about, or is waited for; empty if there is none
 * @param expectedMillis expected time until the response of that server; 0 without one
 * @param waitingBefore waiting requests of the service that are decided before this one
 * @param ownership recorded owner of the key; empty if the request has no key, or the key no owner
 * @param candidates servers that could run the request: the chosen one first, then the fastest ones; a bounded number
 * @param unlistedCandidates number of further ones
 */
public record DispatchDescription(
        Outcome outcome,
        Optional<RefusalCause> cause,
        long retryAfterMillis,
        Optional<ServerStart> server,
        long expectedMillis,
        int waitingBefore,
        Optional<RangeOwnership> ownership,
        List<CandidateDescription> candidates,
        int unlistedCandidates) {
    /** Copies the list. */
    public DispatchDescription {
        candidates = List.copyOf(candidates);
    }

    /** Kinds of decisions. */
    public enum Outcome {
        /** The request is sent to a server. */
        SEND,
        /** The leader is asked whether the request may be sent to a limited server. */
        ASK_LEADER,
        /** The request waits. */
        WAIT,
        /** The request is refused. */
        REFUSE
    }
}
