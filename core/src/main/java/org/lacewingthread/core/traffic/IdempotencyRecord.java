package org.lacewingthread.core.traffic;

import java.util.List;
import org.lacewingthread.core.id.ShardId;

/**
 * Known state of the attempts with one idempotency key.
 *
 * @param id idempotency key with its scope
 * @param fingerprint hash of the request, to detect another request that uses the same key
 * @param state state of the attempts
 * @param outcome first outcome, or null unless {@link State#DONE}
 */
public record IdempotencyRecord(Id id, long fingerprint, State state, Outcome outcome) {
    /** State of the attempts. */
    public enum State {
        /** An attempt is queued or in flight. */
        RUNNING,
        /** An attempt ran and was answered. */
        DONE,
        /** An attempt may have run; its outcome is not known. */
        MAY_HAVE_RUN
    }

    /**
     * Idempotency key with its scope: the same text for another shard is a different key.
     *
     * @param shard shard that the request's key hashes to, also if the key was split out of it
     * @param key idempotency key as sent by the caller
     */
    public record Id(ShardId shard, String key) {}

    /**
     * First response to a request.
     *
     * @param status HTTP status
     * @param headers alternating names and values
     * @param body body, or null if it was too large to keep; must not be modified
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Outcome(int status, List<String> headers, byte[] body) {
        /** Copies the list of headers. */
        public Outcome {
            headers = List.copyOf(headers);
        }
    }

    /** Returns a copy for another VM, where an attempt that still runs here counts as one that may have run. */
    public IdempotencyRecord toTransferCopy() {
        State copied = state == State.RUNNING ? State.MAY_HAVE_RUN : state;
        return new IdempotencyRecord(id, fingerprint, copied, outcome);
    }

    IdempotencyRecord with(State newState, Outcome newOutcome) {
        return new IdempotencyRecord(id, fingerprint, newState, newOutcome);
    }
}
