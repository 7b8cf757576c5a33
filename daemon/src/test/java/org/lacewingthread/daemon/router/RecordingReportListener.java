package org.lacewingthread.daemon.router;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.registry.RegistryChanges;

/** Records what it receives; acts as the leader if it has a recorded table. */
final class RecordingReportListener implements ReportListener, ReportChannel.TermListener {
    final List<Object> received = new CopyOnWriteArrayList<>();
    volatile Optional<ReportChannel.RecordedTable> recordedTable = Optional.empty();

    final List<PendingReport.Reporter> reporters = new CopyOnWriteArrayList<>();
    final List<Platform.AsOf> leaderTimes = new CopyOnWriteArrayList<>();
    volatile int entryVmCount = 3;

    @Override
    public Optional<ReportChannel.LeaderStatus> leaderStatus(PendingReport.Reporter reporter) {
        return recordedTable.map(table -> new ReportChannel.LeaderStatus(
                1,
                2,
                6,
                entryVmCount,
                true,
                List.of(ReportChannelTest.PEER),
                new Platform.Positions(4, 5, table.logEnd()),
                false,
                true));
    }

    @Override
    public Optional<ReportChannel.RecordedTable> recordedTableAfter(long position) {
        return recordedTable.filter(table -> table.logEnd() > position);
    }

    @Override
    public void onTableFromLeader(ReportChannel.RecordedTable table) {
        received.add(table);
    }

    @Override
    public void onRegistryChanges(RegistryChanges changes) {
        received.add(changes);
    }

    @Override
    public void onTableChange(ReportChannel.TableChange change) {
        received.add(change);
    }

    @Override
    public void onLeaderStatus(ReportChannel.LeaderStatus status, Optional<Platform.AsOf> asOf) {
        received.add(status);
        asOf.ifPresent(leaderTimes::add);
    }

    @Override
    public Optional<VmStart> confirmNotLeadingBefore(long term) {
        return recordedTable.isPresent() ? Optional.empty() : Optional.of(new VmStart(new VmId("vm-2"), term));
    }

    @Override
    public void onNotLeading(VmStart process, long beforeTerm) {
        received.add(process);
    }

    @Override
    public void onReport(String vm) {
        received.add(vm);
    }

    @Override
    public void onReporter(PendingReport.Reporter reporter, InetSocketAddress address) {
        reporters.add(reporter);
    }

    @Override
    public void onReportedKey(ServiceId service, int key) {
        received.add(service + "/" + key);
    }

    @Override
    public void onReportedServiceTime(String vm, ServerStart server, double millis) {
        received.add(server + "=" + millis);
    }
}
