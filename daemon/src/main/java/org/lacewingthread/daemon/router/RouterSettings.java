package org.lacewingthread.daemon.router;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.lacewingthread.core.hedging.HedgeSettings;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.keyrange.RangeLeaseTimes;

/**
 * Settings of a router process.
 *
 * @param vm id of this entry VM
 * @param dataCentre data centre that it runs in
 * @param callerAddress address that callers connect to
 * @param readinessAddress address at which the load balancer checks readiness
 * @param metricsAddress address at which metrics are read
 * @param reportAddress address at which reports of other entry VMs are received
 * @param drainMillis time from a server's drain after which no request may arrive there
 * @param stopMillis time from the stop signal until the process must have ended
 * @param retryRatio extra attempts as a share of first attempts, over all entry VMs
 * @param retrySlack extra attempts at a service in a window beyond that share, over all entry VMs; each has an equal part
 * @param retryWindowMillis window in which the extra attempts are counted
 * @param leaseTimes durations of the holds of key ranges and of their renewals
 * @param firstStart whether the deployment as a whole starts for the first time, so that no server can hold keys yet;
 *     false for a process that is started again
 * @param evacuation times of the evacuations of data centres; empty if the deployment has none
 * @param hedging settings of second attempts of overdue requests; empty if there are none
 * @param coldServers rate limit for cold servers
 */
public record RouterSettings(
        VmId vm,
        DataCentreId dataCentre,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress metricsAddress,
        InetSocketAddress reportAddress,
        long drainMillis,
        long stopMillis,
        double retryRatio,
        double retrySlack,
        long retryWindowMillis,
        RangeLeaseTimes leaseTimes,
        boolean firstStart,
        Optional<EvacuationTimes> evacuation,
        Optional<HedgeSettings> hedging,
        ColdServerSettings coldServers) {
    /** Window in which extra attempts are counted unless the settings name another one. */
    public static final long DEFAULT_RETRY_WINDOW_MILLIS = 10_000;

    /**
     * Times of the evacuations of data centres.
     *
     * @param evacuateMillis time from an evacuation after which no request may arrive there
     * @param entryIntervalMillis how often a server refreshes its entry in the registry
     */
    public record EvacuationTimes(long evacuateMillis, long entryIntervalMillis) {}

    /** Creates the settings of a deployment without evacuations, second attempts and limits for cold servers. */
    public RouterSettings(
            VmId vm,
            DataCentreId dataCentre,
            InetSocketAddress callerAddress,
            InetSocketAddress readinessAddress,
            InetSocketAddress metricsAddress,
            InetSocketAddress reportAddress,
            long drainMillis,
            long stopMillis,
            double retryRatio,
            double retrySlack,
            RangeLeaseTimes leaseTimes,
            boolean firstStart) {
        this(
                vm,
                dataCentre,
                callerAddress,
                readinessAddress,
                metricsAddress,
                reportAddress,
                drainMillis,
                stopMillis,
                retryRatio,
                retrySlack,
                DEFAULT_RETRY_WINDOW_MILLIS,
                leaseTimes,
                firstStart,
                Optional.empty(),
                Optional.empty(),
                ColdServerSettings.OFF);
    }

    /** Returns the same settings with evacuations. */
    public RouterSettings withEvacuation(Optional<EvacuationTimes> times) {
        return new RouterSettings(
                vm,
                dataCentre,
                callerAddress,
                readinessAddress,
                metricsAddress,
                reportAddress,
                drainMillis,
                stopMillis,
                retryRatio,
                retrySlack,
                retryWindowMillis,
                leaseTimes,
                firstStart,
                times,
                hedging,
                coldServers);
    }
}
