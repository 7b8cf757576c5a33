package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.keyrange.KeyRange;
import org.lacewingthread.core.keyrange.Leader;
import org.lacewingthread.core.keyrange.LogPosition;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.keyrange.RangeTableDelta;
import org.lacewingthread.core.membership.LeadAbility;
import org.lacewingthread.core.reachability.RelayPeer;
import org.lacewingthread.core.registry.RegistryChanges;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.daemon.events.EventLog;

/** Sends reports from an entry VM to the leader, and the leader's answers back, over loopback datagrams. */
class ReportChannelTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServiceId DESK = new ServiceId("desk");
    private static final ServerStart SERVER = new ServerStart(new ServerId("s1"), 4);
    /** Size to which earlier builds cut the datagrams that they receive. */
    private static final int EARLIER_RECEIVE_BUFFER_BYTES = 2_048;

    private static final int MANY_SERVERS = 150;
    private static final int KEYS_PER_SERVICE = 180;
    private static final PendingReport.Reporter REPORTER = new PendingReport.Reporter(
            "vm-2", new DataCentreId("maras"), false, 4, 1, List.of(SERVER), new LeadAbility(false, 2, false));
    static final RelayPeer PEER = new RelayPeer(new VmId("vm-3"), new DataCentreId("calca"), "10.0.0.3", 7_000);
    private static final long SENT_AT_MILLIS = 77_000;
    private static final int RECEIVE_TIMEOUT_MILLIS = 5_000;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final ByteArrayOutputStream eventLines = new ByteArrayOutputStream();
    private final EventLog events = new EventLog("vm-1", eventLines, () -> 0);
    private final RecordingReportListener leaderListener = new RecordingReportListener();
    private final RecordingReportListener followerListener = new RecordingReportListener();
    private final ReportChannel leaderChannel =
            new ReportChannel(events, leaderListener, leaderListener, (message, reply) -> false);
    private final ReportChannel followerChannel =
            new ReportChannel(events, followerListener, followerListener, (message, reply) -> false);
    private Leader leader;

    @BeforeEach
    void open() throws IOException, InterruptedException {
        InetSocketAddress leaderAddress = freeAddress();
        leaderChannel.open(loop, leaderAddress);
        followerChannel.open(loop, freeAddress());
        leader = new Leader(new VmStart(new VmId("vm-1"), 7), leaderAddress.getHostString(), leaderAddress.getPort());
        RangeTable table = RangeTable.EMPTY
                .withLeader(1, leader)
                .withRanges(ORDERS, List.of(RangeOwnership.settled(KeyRange.ALL, SERVER)));
        leaderListener.recordedTable = Optional.of(new ReportChannel.RecordedTable(table, 12));
    }

    @AfterEach
    void close() {
        group.shutdownGracefully();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    private void sendReportAndAwaitStatus(OptionalLong wantsTableAfter) {
        loop.execute(() -> {
            followerChannel.addKey(ORDERS, 7);
            followerChannel.sendReport(REPORTER, leader, SENT_AT_MILLIS, Map.of(SERVER, 120.0), wantsTableAfter);
        });
        await().until(() -> followerListener.received.stream().anyMatch(ReportChannel.LeaderStatus.class::isInstance));
    }

    @Test
    void reportDeliversLoadAndLeaderAnswersWithStatus() {
        sendReportAndAwaitStatus(OptionalLong.empty());
        assertThat(leaderListener.received).contains("vm-2", ORDERS + "/7", SERVER + "=120.0");
        assertThat(followerListener.received)
                .containsExactly(new ReportChannel.LeaderStatus(
                        1, 2, 6, 3, true, List.of(PEER), new Platform.Positions(4, 5, 12), false, true));
        assertThat(followerListener.leaderTimes)
                .containsExactly(new Platform.AsOf(SENT_AT_MILLIS - 2, SENT_AT_MILLIS - 6));
    }

    @Test
    void leaderSendsRecordedTableToVmWithOlderTable() {
        sendReportAndAwaitStatus(OptionalLong.of(11));
        assertThat(followerListener.received).first().isEqualTo(leaderListener.recordedTable.orElseThrow());
    }

    private InetSocketAddress leaderAddress() {
        return new InetSocketAddress(leader.reportHost(), leader.reportPort());
    }

    /** Guards against entry VMs that each read the store for every table that the leader records. */
    @Test
    void tableChangeArrivesAsItWasSent() {
        RangeTable before = leaderListener.recordedTable.orElseThrow().table();
        RangeTable after = before.withRanges(ORDERS, List.of(RangeOwnership.settled(KeyRange.ALL, server(2))));
        ReportChannel.TableChange change =
                new ReportChannel.TableChange(RangeTableDelta.between(before, after), new LogPosition(3, 12), 13);
        loop.execute(() -> followerChannel.sendTableChange(change, List.of(leaderAddress())));
        await().until(() -> leaderListener.received.contains(change));
        assertThat(change.delta().applyTo(before)).contains(after);
    }

    @Test
    void wholeTableArrivesAsItWasSent() {
        ReportChannel.RecordedTable recorded = leaderListener.recordedTable.orElseThrow();
        loop.execute(() -> followerChannel.sendTable(recorded, List.of(leaderAddress())));
        await().until(() -> leaderListener.received.contains(recorded));
    }

    @Test
    void registryChangesArriveAsTheyWereSent() {
        ServerEntry entry =
                new ServerEntry(server(3), ORDERS, "10.0.0.7", 8_080, new DataCentreId("maras"), 2, true, false);
        RegistryChanges changes =
                new RegistryChanges(2, 40, 47, List.of(entry), List.of(server(4).server()));
        loop.execute(() -> followerChannel.sendRegistryChanges(changes, List.of(leaderAddress())));
        await().until(() -> leaderListener.received.contains(changes));
    }

    @Test
    void leaderSendsNoTableToVmWithNewestTable() {
        sendReportAndAwaitStatus(OptionalLong.of(12));
        assertThat(followerListener.received).hasOnlyElementsOfType(ReportChannel.LeaderStatus.class);
    }

    private static ServerStart server(int number) {
        String id = String.format("i-%010x", 0x9e3779b97L * number & 0xffffffffffL);
        return new ServerStart(new ServerId(id), 1_764_822_741_000L + number);
    }

    private static Map<ServerStart, Double> timesOfManyServers() {
        return IntStream.range(0, MANY_SERVERS)
                .boxed()
                .collect(Collectors.toMap(ReportChannelTest::server, number -> 100.0 + number));
    }

    private static List<String> receivedFormOf(Map<ServerStart, Double> times) {
        return times.entrySet().stream()
                .map(time -> time.getKey() + "=" + time.getValue())
                .toList();
    }

    private void addManyKeys() {
        for (int key = 0; key < KEYS_PER_SERVICE; key++) {
            followerChannel.addKey(ORDERS, KeyRange.MAX_KEY - key);
            followerChannel.addKey(DESK, KeyRange.MAX_KEY - key);
        }
    }

    private static List<String> receivedFormOfManyKeys() {
        return IntStream.range(0, KEYS_PER_SERVICE)
                .map(key -> KeyRange.MAX_KEY - key)
                .boxed()
                .flatMap(key -> Stream.of(ORDERS + "/" + key, DESK + "/" + key))
                .toList();
    }

    private long statusCount() {
        return followerListener.received.stream()
                .filter(ReportChannel.LeaderStatus.class::isInstance)
                .count();
    }

    /** Sends reports and waits for the answer to each, up to a number of reports, until a condition holds. */
    private void sendReportsUntil(int maxReports, Map<ServerStart, Double> newestTimes, BooleanSupplier condition) {
        for (int i = 0; i < maxReports && !condition.getAsBoolean(); i++) {
            long statusesBefore = statusCount();
            loop.execute(() ->
                    followerChannel.sendReport(REPORTER, leader, SENT_AT_MILLIS, newestTimes, OptionalLong.empty()));
            await().until(() -> statusCount() > statusesBefore);
        }
    }

    private void setRangeCount(int count) {
        int keysPerRange = (KeyRange.MAX_KEY + 1) / count;
        List<RangeOwnership> ranges = IntStream.range(0, count)
                .mapToObj(number -> RangeOwnership.settled(
                        new KeyRange(
                                number * keysPerRange,
                                number == count - 1 ? KeyRange.MAX_KEY : (number + 1) * keysPerRange - 1),
                        server(number)))
                .toList();
        RangeTable table = RangeTable.EMPTY.withLeader(1, leader).withRanges(ORDERS, ranges);
        leaderListener.recordedTable = Optional.of(new ReportChannel.RecordedTable(table, 12));
    }

    /** Guards against the loss of a VM's load, because its report exceeds the leader's receive buffer. */
    @Test
    void reportOf150ServersAnd360KeysArrivesWhole() {
        Map<ServerStart, Double> times = timesOfManyServers();
        loop.execute(() -> {
            addManyKeys();
            followerChannel.sendReport(REPORTER, leader, SENT_AT_MILLIS, times, OptionalLong.empty());
        });
        await().until(() -> statusCount() == 1);
        await().until(() -> leaderListener.received.containsAll(receivedFormOfManyKeys()));
        assertThat(leaderListener.received).contains("vm-2").containsOnlyOnceElementsOf(receivedFormOfManyKeys());

        sendReportsUntil(10, Map.of(), () -> leaderListener.received.containsAll(receivedFormOf(times)));
        assertThat(leaderListener.received).containsOnlyOnceElementsOf(receivedFormOf(times));
    }

    /** Guards against an answer to each datagram of a report, which takes processor time on the leader's VM. */
    @Test
    void leaderAnswersReportOfSeveralDatagramsOnce() {
        loop.execute(() -> {
            addManyKeys();
            followerChannel.sendReport(REPORTER, leader, SENT_AT_MILLIS, timesOfManyServers(), OptionalLong.empty());
        });
        await().until(() -> leaderListener.received.containsAll(receivedFormOfManyKeys()));
        leaderListener.entryVmCount = 4;
        sendReportsUntil(1, Map.of(), () -> false);
        await().until(() -> followerListener.received.contains(
                leaderListener.leaderStatus(REPORTER).orElseThrow()));
        assertThat(statusCount()).isEqualTo(2);
        assertThat(leaderListener.reporters).hasSize(2).containsOnly(REPORTER);
    }

    /** Guards against servers that are never reported, because those measured last are always sent first. */
    @Test
    void reportsDeliverTimesOfAllServersWhileEachIsMeasuredAnew() {
        Map<ServerStart, Double> times = timesOfManyServers();
        sendReportsUntil(10, times, () -> leaderListener.received.containsAll(receivedFormOf(times)));
        assertThat(leaderListener.received).containsAll(receivedFormOf(times));
    }

    /** Guards against reports that a leader of an earlier build can't read, because it cuts long datagrams. */
    @Test
    void reportFitsIntoReceiveBufferOfEarlierBuildInEachDatagram() throws IOException {
        try (DatagramSocket earlierLeader = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            Leader former = new Leader(leader.process(), leader.reportHost(), earlierLeader.getLocalPort());
            loop.execute(() -> {
                addManyKeys();
                followerChannel.sendReport(REPORTER, former, SENT_AT_MILLIS, timesOfManyServers(), OptionalLong.of(12));
            });
            earlierLeader.setSoTimeout(RECEIVE_TIMEOUT_MILLIS);
            int keyCount = 0;
            int timeCount = 0;
            while (keyCount < 2 * KEYS_PER_SERVICE) {
                DatagramPacket packet =
                        new DatagramPacket(new byte[EARLIER_RECEIVE_BUFFER_BYTES], EARLIER_RECEIVE_BUFFER_BYTES);
                earlierLeader.receive(packet);
                JsonNode report = new ObjectMapper().readTree(packet.getData(), 0, packet.getLength());
                assertThat(report.path("vm").asText()).isEqualTo("vm-2");
                keyCount += report.path("keys").path("orders").size()
                        + report.path("keys").path("desk").size();
                timeCount += report.path("times").size();
            }
            assertThat(keyCount).isEqualTo(2 * KEYS_PER_SERVICE);
            assertThat(timeCount).isPositive();
        }
    }

    /** Guards against reports of an earlier build that stay without answer; it sends one datagram of any length. */
    @Test
    void leaderAnswersLongReportOfEarlierBuild() throws IOException {
        ObjectNode report = new ObjectMapper().createObjectNode().put("vm", "vm-3");
        report.putObject("keys").putArray("orders").add(7);
        ObjectNode times = report.putObject("times");
        timesOfManyServers()
                .forEach((server, millis) -> times.putArray(server.server().value())
                        .add(server.startedUnixMillis())
                        .add(Math.round(millis)));
        byte[] bytes = report.toString().getBytes(StandardCharsets.UTF_8);
        try (DatagramSocket earlierVm = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            earlierVm.send(new DatagramPacket(
                    bytes, bytes.length, new InetSocketAddress(leader.reportHost(), leader.reportPort())));
            earlierVm.setSoTimeout(RECEIVE_TIMEOUT_MILLIS);
            DatagramPacket answer =
                    new DatagramPacket(new byte[EARLIER_RECEIVE_BUFFER_BYTES], EARLIER_RECEIVE_BUFFER_BYTES);
            earlierVm.receive(answer);
            JsonNode status = new ObjectMapper().readTree(answer.getData(), 0, answer.getLength());
            assertThat(status.path("storeSilenceMillis").asLong(-1)).isEqualTo(1);
            assertThat(status.path("entryVms").asInt()).isEqualTo(3);
        }
        assertThat(leaderListener.received)
                .contains("vm-3", ORDERS + "/7")
                .containsAll(receivedFormOf(timesOfManyServers()));
    }

    /** Guards against a table that is lost while the store is silent, because it exceeds the receive buffer. */
    @Test
    void leaderSendsTableOf400RangesToVmWithOlderTable() {
        setRangeCount(400);
        sendReportAndAwaitStatus(OptionalLong.of(11));
        await().untilAsserted(() ->
                assertThat(followerListener.received).contains(leaderListener.recordedTable.orElseThrow()));
    }

    /** Guards against a large table that keeps the status from a VM of an earlier build, which cuts the datagram. */
    @Test
    void leaderSendsStatusInDatagramOfItsOwnBesideTableOf400Ranges() throws IOException {
        setRangeCount(400);
        byte[] report =
                "{\"vm\":\"vm-3\",\"wantsTableAfter\":11,\"keys\":{},\"times\":{}}".getBytes(StandardCharsets.UTF_8);
        try (DatagramSocket earlierVm = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            earlierVm.send(new DatagramPacket(
                    report, report.length, new InetSocketAddress(leader.reportHost(), leader.reportPort())));
            earlierVm.setSoTimeout(RECEIVE_TIMEOUT_MILLIS);
            DatagramPacket answer =
                    new DatagramPacket(new byte[EARLIER_RECEIVE_BUFFER_BYTES], EARLIER_RECEIVE_BUFFER_BYTES);
            earlierVm.receive(answer);
            JsonNode status = new ObjectMapper().readTree(answer.getData(), 0, answer.getLength());
            assertThat(status.path("tablePosition").asLong()).isEqualTo(12);
        }
    }

    /** Guards against a status that is lost without a log line, because its table exceeds the largest datagram. */
    @Test
    void leaderLogsTableThatExceedsADatagramAndSendsStatusAlone() {
        setRangeCount(10_000);
        sendReportAndAwaitStatus(OptionalLong.of(11));
        assertThat(followerListener.received).hasOnlyElementsOfType(ReportChannel.LeaderStatus.class);
        await().until(() -> eventLines.toString(StandardCharsets.UTF_8).contains("\"report.too-large\""));
    }

    /** Guards against reports that the kernel drops, because many VMs report while the leader's thread is busy. */
    @Test
    void busyLeaderReceivesReportsOf150VmsThatArriveTogether() throws IOException {
        CountDownLatch reportsSent = new CountDownLatch(1);
        loop.execute(() -> awaitLatch(reportsSent));
        List<String> vms =
                IntStream.range(0, 150).mapToObj(number -> "entry-" + number).toList();
        try (DatagramSocket reporter = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            for (String vm : vms) {
                ObjectNode report = new ObjectMapper().createObjectNode().put("vm", vm);
                ArrayNode keys = report.putObject("keys").putArray("orders");
                IntStream.range(0, KEYS_PER_SERVICE).forEach(key -> keys.add(KeyRange.MAX_KEY - key));
                byte[] bytes = report.toString().getBytes(StandardCharsets.UTF_8);
                reporter.send(new DatagramPacket(
                        bytes, bytes.length, new InetSocketAddress(leader.reportHost(), leader.reportPort())));
            }
        } finally {
            reportsSent.countDown();
        }
        await().untilAsserted(() -> assertThat(leaderListener.received).containsAll(vms));
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
