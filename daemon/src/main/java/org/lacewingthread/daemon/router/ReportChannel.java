package org.lacewingthread.daemon.router;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.keyrange.Leader;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.daemon.events.EventLog;

/**
 * Tells the leader which keys were asked for and how fast servers are. Reports are datagrams: a lost
 * one only makes the leader's picture a little thinner. Runs on the control thread.
 */
final class ReportChannel {
    /** Keys in one report; keeps a datagram below the usual size of a packet. */
    private static final int MAX_KEYS_PER_SERVICE = 180;

    private static final String STORE_SILENCE = "storeSilenceMillis";
    private static final String REGISTRY_SILENCE = "registrySilenceMillis";
    private static final String ENTRY_VMS = "entryVms";
    private static final String REGISTRY_POSITION = "registryPosition";
    private static final String CONFIGURATION_POSITION = "configurationPosition";
    private static final String TABLE_POSITION = "tablePosition";
    private static final String WANTS_TABLE_AFTER = "wantsTableAfter";
    private static final String TABLE = "table";
    private static final String TABLE_END = "tableEnd";
    private static final String NEW_TERM = "newTerm";
    private static final String NOT_LEADING_VM = "notLeadingVm";
    private static final String NOT_LEADING_START = "notLeadingStart";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EventLog events;
    private final Listener listener;
    private final Map<ServiceId, List<Integer>> keysByService = new TreeMap<>();
    private Channel channel;

    /**
     * What a leader tells those that report to it.
     *
     * @param storeSilenceMillis how long it has had no word from the store
     * @param registrySilenceMillis how long it has had no word from the registry of servers
     * @param entryVms how many entry VMs are alive
     * @param positions how far it has read
     */
    record LeaderStatus(
            long storeSilenceMillis, long registrySilenceMillis, int entryVms, Platform.Positions positions) {}

    /**
     * A table that is on record.
     *
     * @param table the table
     * @param end end of the log behind it
     */
    record RecordedTable(RangeTable table, long end) {}

    /** Takes what other entry VMs report. */
    interface Listener {
        /** Returns what the leader answers to a report; empty if this process does not lead. */
        Optional<LeaderStatus> leaderStatus();

        /** Returns the recorded table if it is newer than a position and this process leads. */
        Optional<RecordedTable> recordedTableAfter(long position);

        /** Takes a recorded table that the leader passed on, because the store is silent here. */
        void onTableFromLeader(RecordedTable recorded);

        /** Takes the leader's answer. */
        void onLeaderStatus(LeaderStatus word);

        /** Returns this process, if it does not lead in any term before this one; empty if it may. */
        Optional<VmStart> confirmNotLeadingBefore(long term);

        /** Takes in which process runs where a former leader ran, and that it does not lead. */
        void onNotLeading(VmStart process);

        /** Takes in that an entry VM reported. */
        void onReport(String vm);

        /** Takes a key that was asked for. */
        void onReportedKey(ServiceId service, int key);

        /** Takes a server's time for a request, as one entry VM measured it. */
        void onReportedServiceTime(String vm, ServerStart server, double millis);
    }

    ReportChannel(EventLog events, Listener receiver) {
        this.events = events;
        this.listener = receiver;
    }

    void open(EventLoop eventLoop, InetSocketAddress address) throws InterruptedException {
        channel = new Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel.class)
                .handler(new DatagramHandler())
                .bind(address)
                .sync()
                .channel();
    }

    void addKey(ServiceId service, int key) {
        List<Integer> list = keysByService.computeIfAbsent(service, id -> new ArrayList<>());
        if (list.size() < MAX_KEYS_PER_SERVICE) {
            list.add(key);
        }
    }

    /**
     * Sends what was collected since the last report.
     *
     * @param wantsTableAfter position of the table known here, if the store does not tell of newer ones
     */
    void sendReport(String vm, Leader leader, Map<ServerStart, Double> serviceMillis, OptionalLong wantsTableAfter) {
        ObjectNode root = MAPPER.createObjectNode().put("vm", vm);
        wantsTableAfter.ifPresent(position -> root.put(WANTS_TABLE_AFTER, position));
        ObjectNode services = root.putObject("keys");
        keysByService.forEach((service, list) -> {
            ArrayNode array = services.putArray(service.value());
            list.forEach(array::add);
        });
        ObjectNode times = root.putObject("times");
        serviceMillis.forEach((server, millis) -> times.putArray(server.server().value())
                .add(server.startedUnixMillis())
                .add(Math.round(millis)));
        keysByService.clear();
        sendReport(root, new InetSocketAddress(leader.reportHost(), leader.reportPort()));
    }

    /** Tells a former leader that a new term began; it answers once it does not lead any more. */
    void announceNewTerm(Leader former, long term) {
        sendReport(
                MAPPER.createObjectNode().put(NEW_TERM, term),
                new InetSocketAddress(former.reportHost(), former.reportPort()));
    }

    private void sendReport(ObjectNode message, InetSocketAddress receiverAddress) {
        channel.writeAndFlush(
                new DatagramPacket(Unpooled.copiedBuffer(message.toString(), StandardCharsets.UTF_8), receiverAddress));
    }

    /** Drops what was collected, because nobody leads. */
    void discardKeys() {
        keysByService.clear();
    }

    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                JsonNode message = MAPPER.readTree(ByteBufUtil.getBytes(packet.content()));
                if (message.has(TABLE)) {
                    listener.onTableFromLeader(new RecordedTable(
                            RangeTableJson.readCompressed(message.path(TABLE).binaryValue()),
                            message.path(TABLE_END).asLong()));
                }
                if (message.has(STORE_SILENCE)) {
                    listener.onLeaderStatus(new LeaderStatus(
                            message.path(STORE_SILENCE).asLong(),
                            message.path(REGISTRY_SILENCE).asLong(),
                            message.path(ENTRY_VMS).asInt(1),
                            new Platform.Positions(
                                    message.path(REGISTRY_POSITION).asLong(),
                                    message.path(CONFIGURATION_POSITION).asLong(),
                                    message.path(TABLE_POSITION).asLong())));
                    return;
                }
                if (message.has(NOT_LEADING_VM)) {
                    listener.onNotLeading(new VmStart(
                            new VmId(message.path(NOT_LEADING_VM).asText()),
                            message.path(NOT_LEADING_START).asLong()));
                    return;
                }
                if (message.has(NEW_TERM)) {
                    listener.confirmNotLeadingBefore(message.path(NEW_TERM).asLong())
                            .ifPresent(process -> sendReport(
                                    MAPPER.createObjectNode()
                                            .put(NOT_LEADING_VM, process.vm().value())
                                            .put(NOT_LEADING_START, process.startNumber()),
                                    packet.sender()));
                    return;
                }
                processReport(message);
                listener.leaderStatus().ifPresent(word -> sendStatus(message, word, packet.sender()));
            } catch (IOException | IllegalArgumentException e) {
                events.write("report.unreadable", "from", packet.sender(), "reason", e.getMessage());
            }
        }

        private void sendStatus(JsonNode report, LeaderStatus word, InetSocketAddress reporter) {
            ObjectNode answer = encode(word);
            if (report.has(WANTS_TABLE_AFTER)) {
                listener.recordedTableAfter(report.path(WANTS_TABLE_AFTER).asLong())
                        .ifPresent(recorded -> answer.put(TABLE, RangeTableJson.writeCompressed(recorded.table()))
                                .put(TABLE_END, recorded.end()));
            }
            sendReport(answer, reporter);
        }

        private ObjectNode encode(LeaderStatus word) {
            return MAPPER.createObjectNode()
                    .put(STORE_SILENCE, word.storeSilenceMillis())
                    .put(REGISTRY_SILENCE, word.registrySilenceMillis())
                    .put(ENTRY_VMS, word.entryVms())
                    .put(REGISTRY_POSITION, word.positions().registry())
                    .put(CONFIGURATION_POSITION, word.positions().configuration())
                    .put(TABLE_POSITION, word.positions().table());
        }

        private void processReport(JsonNode report) {
            report.path("keys").fields().forEachRemaining(service -> {
                ServiceId id = new ServiceId(service.getKey());
                service.getValue().forEach(key -> listener.onReportedKey(id, key.asInt()));
            });
            String vm = report.path("vm").asText();
            listener.onReport(vm);
            report.path("times").fields().forEachRemaining(time -> {
                ServerStart server = new ServerStart(
                        new ServerId(time.getKey()), time.getValue().path(0).asLong());
                listener.onReportedServiceTime(
                        vm, server, time.getValue().path(1).asDouble());
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            events.write("report.failed", "reason", cause);
        }
    }
}
