package org.lacewingthread.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.control.PeerMessage;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.core.traffic.IdempotencyRecord;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.lacewingthread.daemon.peer.wire.PeerWire;

class PeerNetworkTest {
    private static final ResponseStatus OK = ResponseStatus.ofServer(200).orElseThrow();
    private static final String LOOPBACK = "127.0.0.1";
    private static final VmStart SENDER = new VmStart(new VmId("maras-1"), 1);
    private static final VmStart RECEIVER = new VmStart(new VmId("maras-2"), 2);
    private static final DataCentreId MARAS = new DataCentreId("maras");
    private static final PeerMessage MESSAGE =
            new PeerMessage.ProgressReported(MARAS, new LogOffset(5), LogOffset.NONE);

    private final List<PeerMessage> received = new CopyOnWriteArrayList<>();
    private final List<VmStart> senders = new CopyOnWriteArrayList<>();
    private final AtomicInteger cancelled = new AtomicInteger();
    private RequestHandler handler = PeerNetworkTest::echo;
    private PeerNetwork sender;
    private PeerNetwork receiver;

    @BeforeEach
    void open() throws IOException {
        sender = network(SENDER);
        receiver = network(RECEIVER);
        receiver.start(LOOPBACK, 0);
    }

    @AfterEach
    void close() {
        sender.close();
        receiver.close();
    }

    @Test
    void controlMessageIsDeliveredWithItsSender() {
        sender.send(member(receiver.port()), MESSAGE);
        await().untilAsserted(() -> assertThat(received).containsExactly(MESSAGE));
        assertThat(senders).containsExactly(SENDER);
    }

    @Test
    void relayedRequestReceivesTheCompleteResponse() {
        RecordingSink sink = new RecordingSink();
        sender.relayTo(member(receiver.port())).handle(request("a", 10_000), sink);
        await().until(() -> sink.ended);
        assertThat(sink.status).isEqualTo(200);
        assertThat(sink.body).containsExactly("POST /holds a");
    }

    @Test
    void concurrentRequestsOnOneLinkReceiveTheirOwnResponses() {
        List<RecordingSink> sinks =
                Stream.generate(RecordingSink::new).limit(200).toList();
        for (int i = 0; i < sinks.size(); i++) {
            sender.relayTo(member(receiver.port())).handle(request("r" + i, 10_000), sinks.get(i));
        }
        await().until(() -> sinks.stream().allMatch(sink -> sink.ended));
        for (int i = 0; i < sinks.size(); i++) {
            assertThat(sinks.get(i).body).containsExactly("POST /holds r" + i);
        }
    }

    @Test
    void requestToAnUnreachableVmFailsAsNotRun() {
        int unused = receiver.port();
        receiver.close();
        RecordingSink sink = new RecordingSink();
        sender.relayTo(member(unused)).handle(request("a", 10_000), sink);
        await().until(() -> sink.failure != null);
        assertThat(sink.failure.code().knowledge()).isEqualTo(ResultCode.Knowledge.NOT_RUN);
    }

    @Test
    void requestFailsAsRelayLostWhenTheLinkClosesAfterSending() {
        AtomicInteger arrived = new AtomicInteger();
        handler = (request, sink) -> {
            arrived.incrementAndGet();
            return cancelled::incrementAndGet;
        };
        RecordingSink sink = new RecordingSink();
        sender.relayTo(member(receiver.port())).handle(request("a", 10_000), sink);
        await().until(() -> arrived.get() == 1);
        receiver.close();
        await().until(() -> sink.failure != null);
        assertThat(sink.failure.code()).isEqualTo(ResultCode.RELAY_LOST);
    }

    @Test
    void requestPastItsDeadlineIsNotRelayed() {
        RecordingSink sink = new RecordingSink();
        sender.relayTo(member(receiver.port())).handle(request("a", -1), sink);
        await().until(() -> sink.failure != null);
        assertThat(sink.failure.code()).isEqualTo(ResultCode.DEADLINE_PASSED);
    }

    @Test
    void requestInFlightCompletesAfterItsVmLeavesTheRoster() {
        List<ResponseSink> arrived = new CopyOnWriteArrayList<>();
        handler = (request, sink) -> {
            arrived.add(sink);
            return () -> {};
        };
        RecordingSink sink = new RecordingSink();
        sender.relayTo(member(receiver.port())).handle(request("a", 10_000), sink);
        await().until(() -> arrived.size() == 1);
        sender.retainOnly(Set.of());
        arrived.get(0).onHead(OK, List.of());
        arrived.get(0).onEnd();
        await().until(() -> sink.ended || sink.failure != null);
        assertThat(sink.failure).isNull();
    }

    @Test
    void cancellationIsForwardedToTheOtherVm() {
        AtomicInteger arrived = new AtomicInteger();
        handler = (request, sink) -> {
            arrived.incrementAndGet();
            return cancelled::incrementAndGet;
        };
        RequestHandler.Cancellation cancellation =
                sender.relayTo(member(receiver.port())).handle(request("a", 10_000), new RecordingSink());
        await().until(() -> arrived.get() == 1);
        cancellation.cancel();
        await().until(() -> cancelled.get() == 1);
    }

    @Test
    void storedRecordIsReturnedByCollect() {
        IdempotencyRecord record = new IdempotencyRecord(
                new IdempotencyRecord.Id(new ShardId(new ApplicationId("ledger"), 3), "key"),
                -5,
                IdempotencyRecord.State.MAY_HAVE_RUN,
                null);
        List<Boolean> stored = new CopyOnWriteArrayList<>();
        sender.putRecord(member(receiver.port()), record, stored::add);
        await().untilAsserted(() -> assertThat(stored).containsExactly(true));
        List<Optional<IdempotencyRecordService.CollectReply>> replies = new CopyOnWriteArrayList<>();
        sender.collectRecords(member(receiver.port()), Set.of(record.id().shard()), replies::add);
        await().untilAsserted(() -> assertThat(replies)
                .containsExactly(
                        Optional.of(new IdempotencyRecordService.CollectReply(List.of(record), Set.of(SENDER), true))));
    }

    @Test
    void collectFromAnUnreachableVmReturnsEmpty() {
        int unused = receiver.port();
        receiver.close();
        List<Optional<IdempotencyRecordService.CollectReply>> replies = new CopyOnWriteArrayList<>();
        sender.collectRecords(member(unused), Set.of(), replies::add);
        await().untilAsserted(() -> assertThat(replies).containsExactly(Optional.empty()));
    }

    @Test
    void linkWithoutPongIsClosedAndReplaced() throws IOException {
        try (SilentServer silent = new SilentServer()) {
            RecordingSink first = new RecordingSink();
            sender.relayTo(member(silent.port())).handle(request("a", 10_000), first);
            await().until(() -> first.failure != null);
            assertThat(first.failure.code()).isEqualTo(ResultCode.RELAY_LOST);
            assertThat(silent.accepted()).isEqualTo(1);
            sender.relayTo(member(silent.port())).handle(request("b", 10_000), new RecordingSink());
            await().until(() -> silent.accepted() == 2);
        }
    }

    static Stream<Arguments> invalidData() {
        return Stream.of(
                Arguments.of("HTTP instead of a frame", "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)),
                Arguments.of(
                        "frame above the size limit",
                        ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array()),
                Arguments.of("ping before hello", framed(PeerProtocol.ping(1))),
                Arguments.of("hello of another protocol version", framed(helloOfVersion(PeerProtocol.VERSION + 1))),
                Arguments.of("hello with an invalid VM id", framed(helloFrom("MARAS 1"))));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("invalidData")
    void connectionThatSendsInvalidDataIsClosed(String name, byte[] bytes) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), receiver.port())) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(10));
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
            InputStream in = socket.getInputStream();
            assertThat(endOf(in)).as("connection is closed").isTrue();
        }
        assertThat(received).isEmpty();
    }

    private static boolean endOf(InputStream in) {
        try {
            return in.read() < 0;
        } catch (IOException e) {
            return true;
        }
    }

    private static byte[] framed(PeerWire.Frame frame) {
        byte[] body = frame.toByteArray();
        return ByteBuffer.allocate(body.length + 4)
                .putInt(body.length)
                .put(body)
                .array();
    }

    private static PeerWire.Frame helloOfVersion(int version) {
        PeerWire.Hello hello =
                PeerProtocol.hello(SENDER, MARAS, PeerWire.Purpose.CONTROL).getHello();
        return PeerWire.Frame.newBuilder()
                .setHello(hello.toBuilder().setProtocolVersion(version))
                .build();
    }

    private static PeerWire.Frame helloFrom(String vm) {
        PeerWire.Hello hello =
                PeerProtocol.hello(SENDER, MARAS, PeerWire.Purpose.CONTROL).getHello();
        return PeerWire.Frame.newBuilder()
                .setHello(hello.toBuilder()
                        .setSender(hello.getSender().toBuilder().setVm(vm)))
                .build();
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private PeerNetwork network(VmStart self) {
        PeerNetwork.MessageListener listener = (from, message) -> {
            senders.add(from);
            received.add(message);
        };
        return new PeerNetwork(
                self,
                MARAS,
                new NoLogEntries(),
                listener,
                (request, sink) -> handler.handle(request, sink),
                new Records(),
                PeerNetworkTest::nowMillis);
    }

    private static RosterMember member(int port) {
        return new RosterMember(RECEIVER, LOOPBACK, port);
    }

    private static RoutedRequest request(String id, long remainingMillis) {
        return new RoutedRequest(
                id,
                new ShardId(new ApplicationId("ledger"), 3),
                77,
                RequestClass.NON_REPEATABLE,
                "POST",
                "/holds",
                List.of(new HeaderField("Content-Type", "text/plain")),
                new byte[0],
                nowMillis() + remainingMillis,
                Optional.of("key"),
                0);
    }

    private static RequestHandler.Cancellation echo(RoutedRequest request, ResponseSink sink) {
        sink.onHead(OK, request.headers());
        String text = request.method() + " " + request.path() + " " + request.requestId();
        sink.onBody(text.getBytes(StandardCharsets.UTF_8), () -> {});
        sink.onEnd();
        return () -> {};
    }

    /** Stores records in memory. */
    private static final class Records implements IdempotencyRecordService {
        private final List<IdempotencyRecord> kept = new CopyOnWriteArrayList<>();

        @Override
        public boolean put(IdempotencyRecord record) {
            return kept.add(record);
        }

        @Override
        public CollectReply recordsOf(Set<ShardId> shards) {
            return new CollectReply(kept, Set.of(SENDER), true);
        }
    }

    /** Fails on any use, as the control messages of these tests contain no log entries. */
    private static final class NoLogEntries implements LogEntryCodec {
        @Override
        public byte[] encode(LogEntry entry) {
            throw new IllegalStateException("unexpected log entry to encode");
        }

        @Override
        public LogEntry decode(LogOffset offset, byte[] data) {
            throw new IllegalStateException("unexpected log entry to decode");
        }
    }

    /** Accepts connections and never writes to them. */
    private static final class SilentServer implements AutoCloseable {
        private final ServerSocket socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        private final List<Socket> accepted = new CopyOnWriteArrayList<>();
        private final Thread thread = new Thread(this::acceptAll, "silent-server");

        SilentServer() throws IOException {
            thread.setDaemon(true);
            thread.start();
        }

        private void acceptAll() {
            try {
                while (true) {
                    accepted.add(socket.accept());
                }
            } catch (IOException e) {
                // The test closed the socket.
                return;
            }
        }

        int port() {
            return socket.getLocalPort();
        }

        int accepted() {
            return accepted.size();
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket connection : accepted) {
                connection.close();
            }
        }
    }
}
