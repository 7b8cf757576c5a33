package org.lacewingthread.core.memory;

/** Why a {@link MemoryAccount} gave up a request or response. */
public enum EvictionReason {
    /** The account is used up, and this holding deserves its memory least. */
    EXHAUSTED("exhausted", "the memory for requests is used up, and this one deserves it least"),
    /** Others wait for memory, and this request makes too little progress. */
    TOO_SLOW("too-slow", "the request makes too little progress while others wait for memory");

    private final String label;
    private final String description;

    EvictionReason(String label, String description) {
        this.label = label;
        this.description = description;
    }

    /** Returns a sentence about a request for the log. */
    public String description() {
        return description;
    }

    /** Returns the name in metrics and logs. */
    public String label() {
        return label;
    }
}
