package org.lacewingthread.daemon.settings;

import java.util.Optional;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmId;

/**
 * Settings of one entry VM.
 *
 * @param vm name of this VM in the platform's list
 * @param dataCentre its data centre
 * @param host IP address that callers, operators and other entry VMs reach it at
 * @param callerPort port for callers
 * @param peerPort port for other entry VMs
 * @param operatorPort port for operators: health, metrics, status
 * @param platform where the platform's services are
 * @param limits limits on callers; defaults apply where absent
 * @param timing lease timing; defaults apply where absent
 */
public record EntrySettings(
        String vm,
        String dataCentre,
        String host,
        int callerPort,
        int peerPort,
        int operatorPort,
        PlatformSettings platform,
        CallerLimits limits,
        ControlSettings timing) {
    private static final int MAX_PORT = 65_535;

    /**
     * Where the platform's services are.
     *
     * @param logHost IP address of the log service
     * @param logPort its port
     * @param logStream stream that holds this system's records
     * @param vmListHost IP address of the list of VMs
     * @param vmListPort its port
     */
    public record PlatformSettings(String logHost, int logPort, String logStream, String vmListHost, int vmListPort) {
        /** Checks that every part is present. */
        public PlatformSettings {
            requireText("platform.logHost", logHost);
            requireText("platform.logStream", logStream);
            requireText("platform.vmListHost", vmListHost);
            requirePort("platform.logPort", logPort);
            requirePort("platform.vmListPort", vmListPort);
        }
    }

    /**
     * Limits on callers.
     *
     * @param maxHeaderBytes largest header section, 1024 to 1048576
     * @param maxBodyBytes largest request body, up to 4194304
     * @param defaultDeadlineMillis deadline of a request that states none, 1 to 60000
     * @param bodyTimeoutMillis how long a caller may take to send its request
     * @param maxRequestsInFlight requests that this VM holds at once
     */
    public record CallerLimits(
            int maxHeaderBytes,
            int maxBodyBytes,
            int defaultDeadlineMillis,
            int bodyTimeoutMillis,
            int maxRequestsInFlight) {
        /** Limits for small VMs. */
        public static final CallerLimits DEFAULT = new CallerLimits(16_384, 1_048_576, 10_000, 10_000, 4_096);

        private static final int MAX_DEADLINE_MILLIS = 60_000;

        /** Checks ranges. */
        public CallerLimits {
            requireRange("limits.maxHeaderBytes", maxHeaderBytes, 1_024, 1_048_576);
            requireRange("limits.maxBodyBytes", maxBodyBytes, 1, 4_194_304);
            requireRange("limits.defaultDeadlineMillis", defaultDeadlineMillis, 1, MAX_DEADLINE_MILLIS);
            requireRange("limits.bodyTimeoutMillis", bodyTimeoutMillis, 1, MAX_DEADLINE_MILLIS);
            requireRange("limits.maxRequestsInFlight", maxRequestsInFlight, 1, 1_000_000);
        }
    }

    /** Checks ranges and fills in defaults. */
    public EntrySettings {
        new VmId(vm);
        new DataCentreId(dataCentre);
        requireText("host", host);
        requirePort("callerPort", callerPort);
        requirePort("peerPort", peerPort);
        requirePort("operatorPort", operatorPort);
        if (callerPort == peerPort || callerPort == operatorPort || peerPort == operatorPort) {
            throw new IllegalArgumentException("callerPort " + callerPort + ", peerPort " + peerPort
                    + " and operatorPort " + operatorPort + " must differ");
        }
        if (platform == null) {
            throw new IllegalArgumentException("field \"platform\" is missing; name the log and the list of VMs");
        }
        limits = Optional.ofNullable(limits).orElse(CallerLimits.DEFAULT);
        timing = Optional.ofNullable(timing).orElse(ControlSettings.DEFAULT);
    }

    /** Returns the id of this VM. */
    @com.fasterxml.jackson.annotation.JsonIgnore
    public VmId vmId() {
        return new VmId(vm);
    }

    /** Returns the id of its data centre. */
    @com.fasterxml.jackson.annotation.JsonIgnore
    public DataCentreId dataCentreId() {
        return new DataCentreId(dataCentre);
    }

    private static void requireText(String field, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("field \"" + field + "\" is missing or empty");
        }
    }

    private static void requirePort(String field, int port) {
        requireRange(field, port, 1, MAX_PORT);
    }

    private static void requireRange(String field, int value, int min, int max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(
                    "field \"" + field + "\" has value " + value + "; give " + min + " to " + max);
        }
    }
}
