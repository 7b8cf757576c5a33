package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.keyrange.KeyRange;
import org.lacewingthread.core.keyrange.Leader;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.daemon.events.EventLog;

/** Sends reports from an entry VM to the leader, and the leader's answers back, over loopback datagrams. */
class ReportChannelTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServerStart SERVER = new ServerStart(new ServerId("s1"), 4);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final EventLog events = new EventLog("vm-1", new ByteArrayOutputStream(), () -> 0);
    private final RecordingListener leaderListener = new RecordingListener();
    private final RecordingListener followerListener = new RecordingListener();
    private final ReportChannel leaderChannel = new ReportChannel(events, leaderListener);
    private final ReportChannel followerChannel = new ReportChannel(events, followerListener);
    private Leader leader;

    /** Records what it receives; acts as the leader if it has a recorded table. */
    private static final class RecordingListener implements ReportChannel.Listener {
        private final List<Object> received = new CopyOnWriteArrayList<>();
        private volatile Optional<ReportChannel.RecordedTable> recordedTable = Optional.empty();

        @Override
        public Optional<ReportChannel.LeaderStatus> leaderStatus() {
            return recordedTable.map(
                    table -> new ReportChannel.LeaderStatus(1, 2, 3, new Platform.Positions(4, 5, table.logEnd())));
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
        public void onLeaderStatus(ReportChannel.LeaderStatus status) {
            received.add(status);
        }

        @Override
        public Optional<VmStart> confirmNotLeadingBefore(long term) {
            return recordedTable.isPresent() ? Optional.empty() : Optional.of(new VmStart(new VmId("vm-2"), term));
        }

        @Override
        public void onNotLeading(VmStart process) {
            received.add(process);
        }

        @Override
        public void onReport(String vm) {
            received.add(vm);
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
            followerChannel.sendReport("vm-2", leader, Map.of(SERVER, 120.0), wantsTableAfter);
        });
        await().until(() -> followerListener.received.stream().anyMatch(ReportChannel.LeaderStatus.class::isInstance));
    }

    @Test
    void reportDeliversLoadAndLeaderAnswersWithStatus() {
        sendReportAndAwaitStatus(OptionalLong.empty());
        assertThat(leaderListener.received).contains("vm-2", ORDERS + "/7", SERVER + "=120.0");
        assertThat(followerListener.received)
                .containsExactly(new ReportChannel.LeaderStatus(1, 2, 3, new Platform.Positions(4, 5, 12)));
    }

    @Test
    void leaderSendsRecordedTableToVmWithOlderTable() {
        sendReportAndAwaitStatus(OptionalLong.of(11));
        assertThat(followerListener.received).first().isEqualTo(leaderListener.recordedTable.orElseThrow());
    }

    @Test
    void leaderSendsNoTableToVmWithNewestTable() {
        sendReportAndAwaitStatus(OptionalLong.of(12));
        assertThat(followerListener.received).hasOnlyElementsOfType(ReportChannel.LeaderStatus.class);
    }
}
