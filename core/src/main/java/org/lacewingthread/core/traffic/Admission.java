package org.lacewingthread.core.traffic;

/**
 * Result of {@link ServerQueue#offer}: queued or refused.
 *
 * @param refusal reason for which the request was refused, or null if it is queued
 * @param retryAfterMillis time until capacity is expected, in milliseconds; 0 if the request is queued
 */
public record Admission(ResultCode refusal, long retryAfterMillis) {
    /** Result for a queued request. */
    public static final Admission QUEUED = new Admission(null, 0);

    /** Returns whether the request is queued. */
    public boolean isQueued() {
        return refusal == null;
    }

    static Admission refused(ResultCode code, long retryAfterMillis) {
        return new Admission(code, retryAfterMillis);
    }
}
