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

/** Reports between a leader and another entry VM, over loopback datagrams. */
class LoadReportsTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServerStart SERVER = new ServerStart(new ServerId("s1"), 4);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final EventLog events = new EventLog("vm-1", new ByteArrayOutputStream(), () -> 0);
    private final Receiver leading = new Receiver();
    private final Receiver following = new Receiver();
    private final LoadReports leaderReports = new LoadReports(events, leading);
    private final LoadReports followerReports = new LoadReports(events, following);
    private Leader leader;

    /** Keeps what arrives; leads if it has a table. */
    private static final class Receiver implements LoadReports.Receiver {
        private final List<Object> received = new CopyOnWriteArrayList<>();
        private volatile Optional<LoadReports.RecordedTable> recorded = Optional.empty();

        @Override
        public Optional<LoadReports.LeaderWord> leaderWord() {
            return recorded.map(
                    table -> new LoadReports.LeaderWord(1, 2, 3, new Platform.Positions(4, 5, table.end())));
        }

        @Override
        public Optional<LoadReports.RecordedTable> tableAfter(long position) {
            return recorded.filter(table -> table.end() > position);
        }

        @Override
        public void onTableFromLeader(LoadReports.RecordedTable table) {
            received.add(table);
        }

        @Override
        public void onLeaderWord(LoadReports.LeaderWord word) {
            received.add(word);
        }

        @Override
        public Optional<VmStart> processNotLeadingBefore(long term) {
            return recorded.isPresent() ? Optional.empty() : Optional.of(new VmStart(new VmId("vm-2"), term));
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
        public void onKey(ServiceId service, int key) {
            received.add(service + "/" + key);
        }

        @Override
        public void onServiceTime(String vm, ServerStart server, double millis) {
            received.add(server + "=" + millis);
        }
    }

    @BeforeEach
    void open() throws IOException, InterruptedException {
        InetSocketAddress leaderAddress = free();
        leaderReports.open(loop, leaderAddress);
        followerReports.open(loop, free());
        leader = new Leader(new VmStart(new VmId("vm-1"), 7), leaderAddress.getHostString(), leaderAddress.getPort());
        RangeTable table = RangeTable.EMPTY
                .withLeader(1, leader)
                .withRanges(ORDERS, List.of(RangeOwnership.settled(KeyRange.ALL, SERVER)));
        leading.recorded = Optional.of(new LoadReports.RecordedTable(table, 12));
    }

    @AfterEach
    void close() {
        group.shutdownGracefully();
    }

    private static InetSocketAddress free() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    private void report(OptionalLong wantsTableAfter) {
        loop.execute(() -> {
            followerReports.add(ORDERS, 7);
            followerReports.send("vm-2", leader, Map.of(SERVER, 120.0), wantsTableAfter);
        });
        await().until(() -> following.received.stream().anyMatch(LoadReports.LeaderWord.class::isInstance));
    }

    @Test
    void aReportTellsLoadAndIsAnsweredByTheLeader() {
        report(OptionalLong.empty());
        assertThat(leading.received).contains("vm-2", ORDERS + "/7", SERVER + "=120.0");
        assertThat(following.received)
                .containsExactly(new LoadReports.LeaderWord(1, 2, 3, new Platform.Positions(4, 5, 12)));
    }

    @Test
    void aVmThatHearsNothingFromTheStoreGetsTheRecordedTableFromTheLeader() {
        report(OptionalLong.of(11));
        assertThat(following.received).first().isEqualTo(leading.recorded.orElseThrow());
    }

    @Test
    void aVmThatKnowsTheNewestTableGetsNone() {
        report(OptionalLong.of(12));
        assertThat(following.received).hasOnlyElementsOfType(LoadReports.LeaderWord.class);
    }
}
