package org.lacewingthread.core.traffic;

/**
 * Token bucket that limits extra attempts to a share of the first attempts, so that retries and hedges
 * can't amplify an overload. Each first attempt adds a fraction of a token; an extra attempt takes one.
 */
public final class RetryBudget {
    private final double tokensPerFirstAttempt;
    private final double maxTokens;
    private double tokens;

    /**
     * Creates a budget that starts full.
     *
     * @param tokensPerFirstAttempt tokens added by each first attempt, for example 0.1
     * @param maxTokens capacity of the bucket in tokens
     */
    public RetryBudget(double tokensPerFirstAttempt, double maxTokens) {
        if (tokensPerFirstAttempt < 0 || maxTokens < 0) {
            throw new IllegalArgumentException(
                    "retry budget of ratio " + tokensPerFirstAttempt + " and size " + maxTokens + " is negative");
        }
        this.tokensPerFirstAttempt = tokensPerFirstAttempt;
        this.maxTokens = maxTokens;
        this.tokens = maxTokens;
    }

    /** Adds the tokens of a first attempt. */
    public void onFirstAttempt() {
        tokens = Math.min(maxTokens, tokens + tokensPerFirstAttempt);
    }

    /** Returns whether a token is available. */
    public boolean mayTake() {
        return tokens >= 1;
    }

    /** Takes a token for one extra attempt; returns false if none is available. */
    public boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
