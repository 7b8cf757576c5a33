package org.lacewingthread.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What a backend server says that it is. */
public enum HealthState {
    /** Takes work. */
    @JsonProperty("ready")
    READY,
    /** Has just started; should get a limited share. */
    @JsonProperty("cold")
    COLD,
    /** About to stop; should get no new work. */
    @JsonProperty("leaving")
    LEAVING
}
