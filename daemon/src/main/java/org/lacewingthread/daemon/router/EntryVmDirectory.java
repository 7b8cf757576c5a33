package org.lacewingthread.daemon.router;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.membership.StandbySelection;
import org.lacewingthread.core.reachability.RelayPeer;

/**
 * The entry VMs that report to the leader: how many there are, and which of them reach servers and can send requests for
 * those that don't. All methods run on the control thread.
 */
final class EntryVmDirectory {
    /** How long a VM counts as alive after it reported; long enough for several reports to be lost. */
    private static final long REPORT_VALIDITY_MILLIS = 5_000;
    /** How long a report shows that a VM reaches servers: two reports may be lost. */
    private static final long REACH_VALIDITY_MILLIS = 1_500;
    /** Most VMs named to one VM, so that the answer to a report stays a small datagram. */
    private static final int MAX_PEERS = 12;

    /** How long a selection of standbys is used, since each VM's report asks for it. */
    private static final long STANDBYS_VALIDITY_MILLIS = 250;

    private final Map<String, Long> seenMillis = new HashMap<>();
    private final Map<String, Report> reports = new HashMap<>();
    private Set<VmId> standbys = Set.of();
    private long standbysSelectedMillis = Long.MIN_VALUE / 2;

    /** What a VM reported, and when. */
    private record Report(long reportedMillis, PendingReport.Reporter reporter, RelayPeer peer) {
        boolean mayReachServers(long nowMillis) {
            return !reporter.cutOff() && nowMillis - reportedMillis <= REACH_VALIDITY_MILLIS;
        }

        /** Returns whether so many servers are silent that the VM's own links may be the cause. */
        boolean isSuspect() {
            return reporter.silentServers() >= Reach.MIN_SILENT_SERVERS;
        }
    }

    /** A report with its place among equal ones, which differs by requester. */
    private record RankedReport(Report report, int rank) {}

    /** Records that a VM is alive. */
    void onSeen(String vm, long nowMillis) {
        seenMillis.put(vm, nowMillis);
    }

    /**
     * Records a report.
     *
     * @param address address that the report came from, which also takes relayed requests
     */
    void onReport(PendingReport.Reporter reporter, InetSocketAddress address, long nowMillis) {
        RelayPeer peer = new RelayPeer(
                new VmId(reporter.vm()),
                reporter.dataCentre(),
                address.getAddress().getHostAddress(),
                address.getPort());
        seenMillis.put(reporter.vm(), nowMillis);
        reports.put(reporter.vm(), new Report(nowMillis, reporter, peer));
    }

    /** Returns the number of live entry VMs, including this one. */
    int count(String self, long nowMillis) {
        seenMillis.values().removeIf(seen -> nowMillis - seen >= REPORT_VALIDITY_MILLIS);
        reports.keySet().retainAll(seenMillis.keySet());
        return seenMillis.size() + (seenMillis.containsKey(self) ? 0 : 1);
    }

    /**
     * Returns whether a VM stands by to lead.
     *
     * @param leader VM that leads now, and is no standby
     */
    boolean isStandby(String vm, String leader, long nowMillis) {
        if (nowMillis - standbysSelectedMillis >= STANDBYS_VALIDITY_MILLIS) {
            standbysSelectedMillis = nowMillis;
            standbys = StandbySelection.select(candidates(leader, nowMillis).toList());
        }
        return standbys.contains(new VmId(vm));
    }

    /** Returns whether another VM than the leader could carry the lead and can take it over. */
    boolean knowsAbleVm(String leader, long nowMillis) {
        return candidates(leader, nowMillis)
                .anyMatch(candidate -> candidate.ability().couldTakeOver());
    }

    private Stream<StandbySelection.Candidate> candidates(String leader, long nowMillis) {
        return reports.values().stream()
                .filter(report -> report.mayReachServers(nowMillis))
                .filter(report -> !report.reporter().vm().equals(leader))
                .map(report -> new StandbySelection.Candidate(
                        report.peer().vm(),
                        report.peer().dataCentre(),
                        report.reporter().ability()));
    }

    /** Returns the addresses at which the live entry VMs receive messages. */
    List<InetSocketAddress> addresses(long nowMillis) {
        return reports.values().stream()
                .filter(report -> nowMillis - report.reportedMillis() < REPORT_VALIDITY_MILLIS)
                .map(report -> new InetSocketAddress(
                        report.peer().host(), report.peer().port()))
                .toList();
    }

    /** Returns the largest number of servers that answered one of the reporting VMs of late. */
    int mostAnsweringServers(long nowMillis) {
        return reports.values().stream()
                .filter(report -> report.mayReachServers(nowMillis))
                .mapToInt(report -> report.reporter().answeringServers())
                .max()
                .orElse(0);
    }

    /**
     * Returns VMs that reach servers, as far as is known: those to which few servers are silent come first, then those that
     * servers answered of late, then those of a data centre. Each VM gets others first, so that no one is asked by all.
     *
     * @param requester VM that may hand requests to them
     */
    List<RelayPeer> peersFor(String requester, DataCentreId dataCentre, long nowMillis) {
        return reports.values().stream()
                .filter(report -> report.mayReachServers(nowMillis))
                .filter(report -> !report.peer().vm().value().equals(requester))
                .map(report -> new RankedReport(report, (report.peer().vm().value() + requester).hashCode()))
                .sorted(Comparator.<RankedReport, Boolean>comparing(
                                ranked -> ranked.report().isSuspect())
                        .thenComparing(ranked -> ranked.report().reporter().answeringServers() == 0)
                        .thenComparing(
                                ranked -> !ranked.report().peer().dataCentre().equals(dataCentre))
                        .thenComparingInt(RankedReport::rank))
                .limit(MAX_PEERS)
                .map(ranked -> ranked.report().peer())
                .toList();
    }
}
