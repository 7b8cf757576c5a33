package org.lacewingthread.daemon.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.lacewingthread.core.config.Label;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.daemon.entry.EntryVm;
import org.lacewingthread.daemon.settings.EntrySettings;
import org.lacewingthread.standin.BackendServerStandIn;
import org.lacewingthread.standin.BackendSettings;
import org.lacewingthread.standin.LogServiceStandIn;
import org.lacewingthread.standin.Run;
import org.lacewingthread.standin.VmListStandIn;

/**
 * A small system in one process on loopback: stand-ins of the platform and of backend servers, and
 * real entry VMs in two or more data centres. Used by the demo and by end-to-end tests.
 *
 * <pre>{@code
 * try (DemoCluster cluster = DemoCluster.start(List.of("maras", "calca"), 3, 2)) {
 *     cluster.stopServer("maras-server-1");
 * }
 * }</pre>
 */
public final class DemoCluster implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final String STREAM = "lacewingthread";
    private static final int SLOTS = 2;
    private static final int QUEUE_LIMIT = 4;
    private static final int MAX_CONNECTIONS = 50;

    private final LogServiceStandIn log = new LogServiceStandIn(0);
    private final VmListStandIn vmList = new VmListStandIn(0);
    private final Map<String, BackendServerStandIn> servers = new LinkedHashMap<>();
    private final Map<String, EntryVm> vms = new LinkedHashMap<>();
    private final Map<String, EntryVm> leavingVms = new LinkedHashMap<>();
    private final Map<String, EntrySettings> settings = new LinkedHashMap<>();
    private final List<ServerSpec> serverSpecs = new ArrayList<>();
    private final List<Run> runsOfStoppedServers = new ArrayList<>();

    private DemoCluster() throws IOException {}

    /**
     * Starts the stand-ins and the entry VMs without publishing a configuration.
     *
     * @param dataCentres names of the data centres
     * @param vmsPerDataCentre number of entry VMs in each data centre
     * @param serversPerDataCentre number of backend servers in each data centre; every second one checks fencing
     *     tokens
     * @throws IOException if a port can't be opened or an entry VM can't start
     */
    public static DemoCluster start(List<String> dataCentres, int vmsPerDataCentre, int serversPerDataCentre)
            throws IOException {
        DemoCluster cluster = new DemoCluster();
        for (String dataCentre : dataCentres) {
            for (int i = 1; i <= serversPerDataCentre; i++) {
                cluster.startServer(dataCentre, dataCentre + "-server-" + i, i % 2 == 0);
            }
            for (int i = 1; i <= vmsPerDataCentre; i++) {
                cluster.addSettings(dataCentre, dataCentre + "-" + i);
            }
        }
        cluster.publishVmList();
        for (String vm : List.copyOf(cluster.settings.keySet())) {
            cluster.startVm(vm);
        }
        return cluster;
    }

    private void startServer(String dataCentre, String name, boolean checksTokens) throws IOException {
        BackendServerStandIn server = new BackendServerStandIn(
                0, BackendSettings.of(name).withSlots(SLOTS, QUEUE_LIMIT).withChecksTokens(checksTokens));
        servers.put(name, server);
        serverSpecs.add(new ServerSpec(
                new ServerId(name),
                new DataCentreId(dataCentre),
                LOOPBACK,
                server.uri().getPort(),
                List.of(DemoConfiguration.LEDGER_LABEL, new Label("dc", dataCentre)),
                SLOTS,
                MAX_CONNECTIONS,
                checksTokens,
                false));
    }

    private void addSettings(String dataCentre, String name) throws IOException {
        settings.put(
                name,
                new EntrySettings(
                        name,
                        dataCentre,
                        LOOPBACK,
                        FreePorts.next(),
                        FreePorts.next(),
                        FreePorts.next(),
                        new EntrySettings.PlatformSettings(
                                LOOPBACK,
                                log.uri().getPort(),
                                STREAM,
                                LOOPBACK,
                                vmList.uri().getPort()),
                        EntrySettings.CallerLimits.DEFAULT,
                        ControlSettings.DEFAULT));
    }

    private void startVm(String name) throws IOException {
        vms.put(name, EntryVm.start(settings.get(name)));
    }

    private void publishVmList() {
        vmList.setListing(new VmListStandIn.Listing(List.copyOf(settings.keySet()), List.of()));
    }

    /** Returns the backend servers as the routing configuration declares them. */
    public List<ServerSpec> serverSpecs() {
        return List.copyOf(serverSpecs);
    }

    /** Returns the stand-in of the log service, for injecting faults and for publishing records. */
    public LogServiceStandIn log() {
        return log;
    }

    /** Returns the name of the log stream that holds the records of the system. */
    public String stream() {
        return STREAM;
    }

    /** Returns the running entry VMs by name, without those that are leaving. */
    public Map<String, EntryVm> vms() {
        return Map.copyOf(vms);
    }

    /** Returns the settings of an entry VM, also of a stopped one. */
    public EntrySettings settingsOf(String vm) {
        return settings.get(vm);
    }

    /** Returns a running backend server, or null if none has this name. */
    public BackendServerStandIn server(String name) {
        return servers.get(name);
    }

    /** Stops a backend server without a drain; {@link #runs} still returns what it ran. */
    public void stopServer(String name) {
        BackendServerStandIn server = servers.remove(name);
        runsOfStoppedServers.addAll(server.runs());
        server.close();
    }

    /** Makes an entry VM start to hand over its work; callers, which choose from {@link #vms}, no longer use it. */
    public void leave(String name) {
        EntryVm vm = vms.remove(name);
        leavingVms.put(name, vm);
        vm.leave();
    }

    /** Returns whether no entry VM of the data centre has the leaving entry VM in its roster any more. */
    public boolean hasLeft(String name) {
        return vms.values().stream()
                .map(EntryVm::status)
                .filter(status -> status.dataCentre().equals(settings.get(name).dataCentre()))
                .noneMatch(status -> status.roster().stream().anyMatch(member -> member.startsWith(name + "#")));
    }

    /** Stops an entry VM after {@link #leave}. */
    public void stopLeavingVm(String name) {
        leavingVms.remove(name).close();
    }

    /** Stops an entry VM without a handover. */
    public void stopVm(String name) {
        vms.remove(name).close();
    }

    /** Returns the runs of all backend servers, stopped ones included. */
    public List<Run> runs() {
        return Stream.concat(
                        runsOfStoppedServers.stream(),
                        servers.values().stream().flatMap(server -> server.runs().stream()))
                .toList();
    }

    /** Returns for each running entry VM the leader that it knows of; empty if it knows none. */
    public Map<String, Optional<String>> leaders() {
        Map<String, Optional<String>> leaders = new LinkedHashMap<>();
        vms.forEach((name, vm) ->
                leaders.put(name, Optional.of(vm.status().leader()).filter(leader -> !leader.isEmpty())));
        return leaders;
    }

    @Override
    public void close() {
        vms.values().forEach(EntryVm::close);
        leavingVms.values().forEach(EntryVm::close);
        servers.values().forEach(BackendServerStandIn::close);
        vmList.close();
        log.close();
    }
}
