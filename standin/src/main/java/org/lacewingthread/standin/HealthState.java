package org.lacewingthread.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/** State that a backend server reports in its health. */
public enum HealthState {
    /** Accepts requests. */
    @JsonProperty("ready")
    READY,
    /** Has just started; should receive a limited share of requests. */
    @JsonProperty("cold")
    COLD,
    /** Is about to stop; should receive no new requests. */
    @JsonProperty("leaving")
    LEAVING
}
