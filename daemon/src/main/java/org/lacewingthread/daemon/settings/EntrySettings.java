package org.lacewingthread.daemon.settings;

import java.util.Optional;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmId;

/**
 * Settings of one entry VM, as read from its settings file. The component names are the field names of the file.
 *
 * @param vm name of this VM in the platform's list of VMs
 * @param dataCentre id of the data centre that this VM runs in
 * @param host IP address at which callers, operators and other entry VMs reach this VM
 * @param callerPort port for callers
 * @param peerPort port for other entry VMs
 * @param operatorPort port for operators: health, metrics, status
 * @param platform addresses of the platform's services
 * @param limits limits on requests of callers; {@link CallerLimits#DEFAULT} if absent
 * @param timing lease timing; {@link ControlSettings#DEFAULT} if absent
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
     * Addresses of the platform's services.
     *
     * @param logHost IP address of the log service
     * @param logPort port of the log service
     * @param logStream name of the log stream that holds this system's records
     * @param vmListHost IP address of the service that lists the VMs
     * @param vmListPort port of the service that lists the VMs
     */
    public record PlatformSettings(String logHost, int logPort, String logStream, String vmListHost, int vmListPort) {
        /** Checks that the texts are not blank and the ports are valid. */
        public PlatformSettings {
            requireText("platform.logHost", logHost);
            requireText("platform.logStream", logStream);
            requireText("platform.vmListHost", vmListHost);
            requirePort("platform.logPort", logPort);
            requirePort("platform.vmListPort", vmListPort);
        }
    }

    /**
     * Limits on requests of callers.
     *
     * @param maxHeaderBytes size limit of a request's header section in bytes, 1024 to 1048576
     * @param maxBodyBytes size limit of a request body in bytes, 1 to 4194304
     * @param defaultDeadlineMillis deadline of a request that states none, 1 to 60000 ms
     * @param bodyTimeoutMillis time within which a caller must send its whole request, 1 to 60000 ms
     * @param maxRequestsInFlight number of requests that this VM processes at once, 1 to 1000000
     */
    public record CallerLimits(
            int maxHeaderBytes,
            int maxBodyBytes,
            int defaultDeadlineMillis,
            int bodyTimeoutMillis,
            int maxRequestsInFlight) {
        /** Default limits, sized for small VMs. */
        public static final CallerLimits DEFAULT = new CallerLimits(16_384, 1_048_576, 10_000, 10_000, 4_096);

        private static final int MAX_DEADLINE_MILLIS = 60_000;

        /** Checks that each limit is within its range. */
        public CallerLimits {
            requireRange("limits.maxHeaderBytes", maxHeaderBytes, 1_024, 1_048_576);
            requireRange("limits.maxBodyBytes", maxBodyBytes, 1, 4_194_304);
            requireRange("limits.defaultDeadlineMillis", defaultDeadlineMillis, 1, MAX_DEADLINE_MILLIS);
            requireRange("limits.bodyTimeoutMillis", bodyTimeoutMillis, 1, MAX_DEADLINE_MILLIS);
            requireRange("limits.maxRequestsInFlight", maxRequestsInFlight, 1, 1_000_000);
        }
    }

    /** Checks that ids, host and ports are valid and replaces absent limits and timing by their defaults. */
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

    /** Returns the id of this VM's data centre. */
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
