package org.lacewingthread.daemon.router;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.registry.RegistryChanges;

/** Handles the messages of other entry VMs. */
interface ReportListener {
    /** Returns the answer to a VM's report; empty if this process does not lead. */
    Optional<ReportChannel.LeaderStatus> leaderStatus(PendingReport.Reporter reporter);

    /** Returns the recorded range table if it is newer than a log position and this process leads. */
    Optional<ReportChannel.RecordedTable> recordedTableAfter(long position);

    /** Called with the recorded range table, which the leader sends while the store does not answer this VM. */
    void onTableFromLeader(ReportChannel.RecordedTable recorded);

    /** Called with changes of servers that the leader has read from the registry. */
    void onRegistryChanges(RegistryChanges changes);

    /** Called with a table that the leader has just recorded, as its difference from the one before. */
    void onTableChange(ReportChannel.TableChange change);

    /**
     * Called with the leader's answer to a report.
     *
     * @param asOf times up to which the leader knows everything, by this VM's control clock; empty if the leader runs
     *     an earlier build
     */
    void onLeaderStatus(ReportChannel.LeaderStatus status, Optional<Platform.AsOf> asOf);

    /** Called for each datagram of an entry VM's report. */
    void onReport(String vm);

    /** Called once for each report, with the address that it came from. */
    void onReporter(PendingReport.Reporter reporter, InetSocketAddress address);

    /** Called for each requested key in a report. */
    void onReportedKey(ServiceId service, int key);

    /** Called with the service time of a server, as measured by one entry VM. */
    void onReportedServiceTime(String vm, ServerStart server, double millis);
}
