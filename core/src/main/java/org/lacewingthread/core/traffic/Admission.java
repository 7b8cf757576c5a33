package org.lacewingthread.core.traffic;

/**
 * Answer of {@link ServerQueue#offer}.
 *
 * @param refusal why the request is not queued, or null if it is
 * @param retryAfterMillis when room is expected, or 0 if the request is queued
 */
public record Admission(ResultCode refusal, long retryAfterMillis) {
    /** The request is queued. */
    public static final Admission QUEUED = new Admission(null, 0);

    /** Returns whether the request is queued. */
    public boolean isQueued() {
        return refusal == null;
    }

    static Admission refused(ResultCode code, long retryAfterMillis) {
        return new Admission(code, retryAfterMillis);
    }
}
