package org.lacewingthread.daemon.router;

import java.net.InetSocketAddress;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.keyrange.RangeLeaseTimes;

/**
 * Settings of a router process.
 *
 * @param vm this entry VM
 * @param dataCentre where it runs
 * @param callerAddress address for callers
 * @param readinessAddress address for the balancer's readiness question
 * @param metricsAddress address for metrics
 * @param reportAddress address for load reports of other entry VMs
 * @param drainMillis time within which a leaving server gets no more requests
 * @param stopMillis time from the order to stop until the process has to be gone
 * @param retryRatio extra attempts as a share of first attempts, over all VMs
 * @param maxSavedRetries extra attempts that this VM may save up
 * @param leaseTimes lengths of key range leases
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
        double maxSavedRetries,
        RangeLeaseTimes leaseTimes) {}
