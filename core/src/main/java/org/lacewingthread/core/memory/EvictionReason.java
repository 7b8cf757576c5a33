package org.lacewingthread.core.memory;

/** Why a {@link MemoryAccount} gave up a request or response. */
public enum EvictionReason {
    /** The account is used up, and this holding deserves its memory least. */
    EXHAUSTED("exhausted"),
    /** Others wait for memory, and this request makes too little progress. */
    TOO_SLOW("too-slow");

    private final String label;

    EvictionReason(String label) {
        this.label = label;
    }

    /** Returns the name in metrics and logs. */
    public String label() {
        return label;
    }
}
