package org.lacewingthread.daemon.router;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.keyrange.Leader;
import org.lacewingthread.core.keyrange.LogPosition;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.keyrange.RangeTableDelta;
import org.lacewingthread.core.reachability.RelayPeer;
import org.lacewingthread.core.registry.RegistryChanges;
import org.lacewingthread.daemon.events.EventLog;

/**
 * Exchanges datagrams between entry VMs. Each VM reports requested keys and the service times of servers to the leader,
 * which answers with its status. A lost report only leaves the leader with fewer samples. New leaders also tell former
 * ones of their term. Runs on the control thread.
 */
final class ReportChannel {
    /** Most bytes of a datagram's content: 65,535 without the headers of IPv4 and UDP. */
    static final int MAX_DATAGRAM_BYTES = 65_507;

    /** Most bytes of an encoded range table, so that the leader's status fits into the same datagram. */
    private static final int MAX_TABLE_BYTES = MAX_DATAGRAM_BYTES - PendingReport.MAX_DATAGRAM_BYTES;

    /** Size of the kernel's receive buffer: room for the reports of 450 VMs while the control thread is busy. */
    private static final int SOCKET_BUFFER_BYTES = 1 << 20;

    private static final String REPORT_SENT_AT = "reportSentAtMillis";
    private static final String TABLE = "table";
    private static final String TABLE_END = "tableEnd";
    private static final String NEW_TERM = "newTerm";
    private static final String NOT_LEADING_VM = "notLeadingVm";
    private static final String NOT_LEADING_START = "notLeadingStart";
    private static final String NOT_LEADING_BEFORE_TERM = "notLeadingBeforeTerm";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EventLog events;
    private final ReportListener listener;
    private final TermListener termListener;
    private final MessageHandler limitMessages;
    private final PendingReport pendingReport = new PendingReport();
    private Channel channel;
    private Optional<EncodedTable> newestEncodedTable = Optional.empty();

    /**
     * The leader's answer to a report.
     *
     * @param storeSilenceMillis how long the store has not answered the leader
     * @param registrySilenceMillis age of the leader's knowledge of the servers
     * @param configurationAgeMillis age of the leader's knowledge of the configuration
     * @param entryVmCount how many entry VMs are alive
     * @param linksImpaired whether the leader reaches no server, or far fewer than another entry VM
     * @param relayPeers entry VMs that can send requests for the one that is answered
     * @param positions log positions up to which the leader has read
     * @param standby whether the VM that reported stands by to lead
     * @param yieldsLead whether the leader leaves the lead to others, since it can't carry it
     */
    record LeaderStatus(
            long storeSilenceMillis,
            long registrySilenceMillis,
            long configurationAgeMillis,
            int entryVmCount,
            boolean linksImpaired,
            List<RelayPeer> relayPeers,
            Platform.Positions positions,
            boolean standby,
            boolean yieldsLead) {
        /** Copies the list. */
        LeaderStatus {
            relayPeers = List.copyOf(relayPeers);
        }

        /** Returns whether nothing that the leader stated of itself lets another VM take over. */
        boolean leaderMayStay() {
            return !linksImpaired && !yieldsLead;
        }

        /** Returns whether no VM but the standbys has to join the leader group; they take over from a leader that yields. */
        boolean standbysSuffice() {
            return !linksImpaired;
        }
    }

    /**
     * A range table that is recorded in the store.
     *
     * @param table the range table
     * @param logEnd log position after the table's record
     */
    record RecordedTable(RangeTable table, long logEnd) {}

    /**
     * A newly recorded table, as its difference from the one before.
     *
     * @param delta the difference
     * @param before log position after the record of the table before
     * @param logEnd log position after the table's record, in the same era
     */
    record TableChange(RangeTableDelta delta, LogPosition before, long logEnd) {}

    /**
     * A recorded table in the form in which it is sent; kept because many VMs ask for the same table.
     *
     * @param recorded the table
     * @param base64 the table as compressed JSON; empty if it does not fit into a datagram
     */
    private record EncodedTable(RecordedTable recorded, Optional<String> base64) {}

    /** Handles the messages between a new leader and former ones. */
    interface TermListener {
        /** Returns this process if it certainly leads in no term before the given one; empty if it may still lead. */
        Optional<VmStart> confirmNotLeadingBefore(long term);

        /** Called with the process that now runs on a former leader's VM and that leads in no term before the given. */
        void onNotLeading(VmStart process, long beforeTerm);
    }

    /** Handles datagrams of another kind than reports. */
    interface MessageHandler {
        /**
         * Handles a message if it is of its kind; returns whether it is.
         *
         * @param reply sends an answer to the sender
         */
        boolean onMessage(JsonNode message, Consumer<ObjectNode> reply);
    }

    ReportChannel(EventLog events, ReportListener listener, TermListener termListener, MessageHandler limitMessages) {
        this.events = events;
        this.listener = listener;
        this.termListener = termListener;
        this.limitMessages = limitMessages;
    }

    void open(EventLoop eventLoop, InetSocketAddress address) throws InterruptedException {
        channel = new Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new ReusedReceiveBuffer(MAX_DATAGRAM_BYTES))
                .option(ChannelOption.SO_RCVBUF, SOCKET_BUFFER_BYTES)
                .handler(new DatagramHandler())
                .bind(address)
                .sync()
                .channel();
    }

    /** Adds a requested key to the next report, unless the report is full. */
    void addKey(ServiceId service, int key) {
        pendingReport.addKey(service, key);
    }

    /**
     * Sends the keys added since the last report, and service times, to the leader. Service times that do not fit are
     * sent with the next reports.
     *
     * @param sentAtMillis the present time by the control clock; the leader's answer returns it
     * @param serviceMillis newest service times of servers
     * @param wantsTableAfter log position after the range table known here, so that the leader sends a newer one;
     *     empty while the store answers
     */
    void sendReport(
            PendingReport.Reporter reporter,
            Leader leader,
            long sentAtMillis,
            Map<ServerStart, Double> serviceMillis,
            OptionalLong wantsTableAfter) {
        pendingReport.addServiceTimes(serviceMillis);
        InetSocketAddress recipient = new InetSocketAddress(leader.reportHost(), leader.reportPort());
        pendingReport
                .takeDatagrams(reporter, sentAtMillis, wantsTableAfter)
                .forEach(datagram -> send(datagram, recipient));
    }

    /** Tells a former leader that a new term has begun; it answers once it has stopped leading. */
    void announceNewTerm(Leader former, long term) {
        send(
                MAPPER.createObjectNode().put(NEW_TERM, term),
                new InetSocketAddress(former.reportHost(), former.reportPort()));
    }

    /** Sends a newly recorded table to other VMs. */
    void sendTableChange(TableChange change, List<InetSocketAddress> recipients) {
        sendToAll(TableChangeJson.write(change), recipients);
    }

    /** Sends changes of servers to other VMs; these read them from the registry if there are too many for a datagram. */
    void sendRegistryChanges(RegistryChanges changes, List<InetSocketAddress> recipients) {
        byte[] datagram = encode(RegistryChangesJson.write(changes));
        if (datagram.length <= MAX_DATAGRAM_BYTES) {
            recipients.forEach(recipient -> send(datagram, recipient));
        }
    }

    /** Sends a whole recorded table to other VMs. */
    void sendTable(RecordedTable recorded, List<InetSocketAddress> recipients) {
        ObjectNode message = MAPPER.createObjectNode()
                .put(TABLE, RangeTableJson.writeBase64(recorded.table()))
                .put(TABLE_END, recorded.logEnd());
        sendToAll(message, recipients);
    }

    /** Sends a message of another kind than a report to several VMs. */
    void sendToAll(ObjectNode message, List<InetSocketAddress> recipients) {
        byte[] datagram = encode(message);
        recipients.forEach(recipient -> send(datagram, recipient));
    }

    /** Sends a message of another kind than a report. */
    void sendTo(Leader recipient, ObjectNode message) {
        send(message, new InetSocketAddress(recipient.reportHost(), recipient.reportPort()));
    }

    private void send(ObjectNode message, InetSocketAddress recipient) {
        send(encode(message), recipient);
    }

    private static byte[] encode(ObjectNode message) {
        return message.toString().getBytes(StandardCharsets.UTF_8);
    }

    private void send(byte[] datagram, InetSocketAddress recipient) {
        if (datagram.length > MAX_DATAGRAM_BYTES) {
            events.write("report.too-large", "to", recipient, "bytes", datagram.length, "limit", MAX_DATAGRAM_BYTES);
            return;
        }
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), recipient));
    }

    /** Discards the load that was not yet reported; for use while there is no leader to report to. */
    void discardLoad() {
        pendingReport.clear();
    }

    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                JsonNode message = MAPPER.readTree(ByteBufUtil.getBytes(packet.content()));
                if (limitMessages.onMessage(message, reply -> send(reply, packet.sender()))) {
                    return;
                }
                if (RegistryChangesJson.isChanges(message)) {
                    listener.onRegistryChanges(RegistryChangesJson.read(message));
                    return;
                }
                if (TableChangeJson.isChange(message)) {
                    listener.onTableChange(TableChangeJson.read(message));
                    return;
                }
                if (message.has(TABLE)) {
                    listener.onTableFromLeader(new RecordedTable(
                            RangeTableJson.readCompressed(message.path(TABLE).binaryValue()),
                            message.path(TABLE_END).asLong()));
                }
                if (LeaderStatusJson.isStatus(message)) {
                    LeaderStatus status = LeaderStatusJson.read(message);
                    listener.onLeaderStatus(status, asOf(message, status));
                    return;
                }
                if (message.has(TABLE)) {
                    return;
                }
                if (message.has(NOT_LEADING_VM)) {
                    VmStart process = new VmStart(
                            new VmId(message.path(NOT_LEADING_VM).asText()),
                            message.path(NOT_LEADING_START).asLong());
                    // Earlier builds do not name the term.
                    termListener.onNotLeading(
                            process, message.path(NOT_LEADING_BEFORE_TERM).asLong(Long.MAX_VALUE));
                    return;
                }
                if (message.has(NEW_TERM)) {
                    long term = message.path(NEW_TERM).asLong();
                    termListener
                            .confirmNotLeadingBefore(term)
                            .ifPresent(process -> send(
                                    MAPPER.createObjectNode()
                                            .put(NOT_LEADING_VM, process.vm().value())
                                            .put(NOT_LEADING_START, process.startNumber())
                                            .put(NOT_LEADING_BEFORE_TERM, term),
                                    packet.sender()));
                    return;
                }
                processLoad(message);
                boolean firstOfReport = message.has(PendingReport.TIMES);
                if (firstOfReport) {
                    PendingReport.Reporter reporter = ReporterJson.read(message);
                    listener.onReporter(reporter, packet.sender());
                    listener.leaderStatus(reporter).ifPresent(status -> sendStatus(message, status, packet.sender()));
                }
            } catch (IOException | IllegalArgumentException e) {
                events.write("report.unreadable", "from", packet.sender(), "reason", e.getMessage());
            }
        }

        /** The leader answered after the report was sent, so what it knows is no older than by this difference. */
        private Optional<Platform.AsOf> asOf(JsonNode message, LeaderStatus status) {
            JsonNode reportSentAt = message.path(REPORT_SENT_AT);
            return reportSentAt.isIntegralNumber()
                    ? Optional.of(new Platform.AsOf(
                            reportSentAt.asLong() - status.registrySilenceMillis(),
                            reportSentAt.asLong() - status.configurationAgeMillis()))
                    : Optional.empty();
        }

        /** Sends the status, and the range table if it is wanted. The loss of a large table leaves the status intact. */
        private void sendStatus(JsonNode report, LeaderStatus status, InetSocketAddress reporter) {
            Optional<EncodedTable> table = report.has(PendingReport.WANTS_TABLE_AFTER)
                    ? listener.recordedTableAfter(
                                    report.path(PendingReport.WANTS_TABLE_AFTER).asLong())
                            .map(this::encode)
                    : Optional.empty();
            ObjectNode message = LeaderStatusJson.write(status);
            if (report.has(PendingReport.SENT_AT)) {
                message.set(REPORT_SENT_AT, report.path(PendingReport.SENT_AT));
            }
            Optional<byte[]> statusAndTable = table.flatMap(EncodedTable::base64)
                    .map(base64 -> ReportChannel.encode(message.deepCopy()
                            .put(TABLE, base64)
                            .put(TABLE_END, table.get().recorded().logEnd())));
            boolean statusNeedsOwnDatagram =
                    statusAndTable.isEmpty() || statusAndTable.get().length > PendingReport.MAX_DATAGRAM_BYTES;
            if (statusNeedsOwnDatagram) {
                send(message, reporter);
            }
            statusAndTable.ifPresent(datagram -> send(datagram, reporter));
        }

        private EncodedTable encode(RecordedTable recorded) {
            if (newestEncodedTable.isEmpty()
                    || !newestEncodedTable.get().recorded().equals(recorded)) {
                String base64 = RangeTableJson.writeBase64(recorded.table());
                boolean fits = base64.length() <= MAX_TABLE_BYTES;
                if (!fits) {
                    events.write(
                            "report.too-large",
                            "content",
                            "range table",
                            "bytes",
                            base64.length(),
                            "limit",
                            MAX_TABLE_BYTES);
                }
                newestEncodedTable =
                        Optional.of(new EncodedTable(recorded, fits ? Optional.of(base64) : Optional.empty()));
            }
            return newestEncodedTable.get();
        }

        private void processLoad(JsonNode report) {
            report.path(PendingReport.KEYS).fields().forEachRemaining(service -> {
                ServiceId id = new ServiceId(service.getKey());
                service.getValue().forEach(key -> listener.onReportedKey(id, key.asInt()));
            });
            String vm = report.path(PendingReport.VM).asText();
            listener.onReport(vm);
            report.path(PendingReport.TIMES).fields().forEachRemaining(time -> {
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
