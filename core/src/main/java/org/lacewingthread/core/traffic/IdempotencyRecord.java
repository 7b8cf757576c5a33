package org.lacewingthread.core.traffic;

import java.util.List;
import org.lacewingthread.core.id.ShardId;

/**
 * What is known of the attempts under one idempotency key.
 *
 * @param id the key with its scope
 * @param fingerprint hash of the request, to tell another request that uses the same key
 * @param state what is known
 * @param outcome the first outcome, or null unless {@link State#DONE}
 */
public record IdempotencyRecord(Id id, long fingerprint, State state, Outcome outcome) {
    /** State of the attempts. */
    public enum State {
        /** An attempt is queued or under way. */
        RUNNING,
        /** An attempt ran and was answered. */
        DONE,
        /** An attempt may have run; nothing more is known. */
        MAY_HAVE_RUN
    }

    /**
     * An idempotency key with its scope: the same text for another shard is another key.
     *
     * @param shard the shard that the request's key hashes to, whether or not the key is split out
     * @param key the caller's key
     */
    public record Id(ShardId shard, String key) {}

    /**
     * The first answer.
     *
     * @param status HTTP status
     * @param headers names and values in turn
     * @param body the body, or null if it was too large to keep; not to be changed
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Outcome(int status, List<String> headers, byte[] body) {
        /** Copies the headers. */
        public Outcome {
            headers = List.copyOf(headers);
        }
    }

    /** Returns this record as a copy at another VM: an attempt that runs here may have run. */
    public IdempotencyRecord toTransferCopy() {
        State copied = state == State.RUNNING ? State.MAY_HAVE_RUN : state;
        return new IdempotencyRecord(id, fingerprint, copied, outcome);
    }

    IdempotencyRecord with(State newState, Outcome newOutcome) {
        return new IdempotencyRecord(id, fingerprint, newState, newOutcome);
    }
}
