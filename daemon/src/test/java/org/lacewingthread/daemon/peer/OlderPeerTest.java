package org.lacewingthread.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/** An entry VM of an older version, which forwards each status of its servers as it came. */
class OlderPeerTest {
    private static final VmStart OLDER = new VmStart(new VmId("maras-2"), 2);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final List<PeerWire.Frame.BodyCase> received = new CopyOnWriteArrayList<>();
    private final RelayClient client = new RelayClient(OlderPeerTest::nowMillis);
    private int forwardedStatus;

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @BeforeEach
    void connect() throws InterruptedException {
        Channel older = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel socket) {
                        PeerProtocol.addFraming(socket.pipeline());
                        socket.pipeline().addLast(new Forwarder());
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel();
        InetSocketAddress address = (InetSocketAddress) older.localAddress();
        client.attach(new PeerLink(
                new RosterMember(OLDER, address.getHostString(), address.getPort()),
                PeerProtocol.hello(
                        new VmStart(new VmId("maras-1"), 1), new DataCentreId("maras"), PeerWire.Purpose.TRAFFIC),
                group.next(),
                OlderPeerTest::nowMillis,
                new PeerLink.Listener() {
                    @Override
                    public void onFrame(PeerWire.Frame frame) {
                        client.onFrame(frame);
                    }

                    @Override
                    public void onDisconnected() {
                        client.onDisconnected();
                    }
                }));
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Answers each request with a status and a body. */
    private final class Forwarder extends SimpleChannelInboundHandler<PeerWire.Frame> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerWire.Frame frame) {
            received.add(frame.getBodyCase());
            if (frame.getBodyCase() != PeerWire.Frame.BodyCase.REQUEST_START) {
                return;
            }
            long stream = frame.getRequestStart().getStream();
            context.write(PeerWire.Frame.newBuilder()
                    .setResponseHead(
                            PeerWire.ResponseHead.newBuilder().setStream(stream).setStatus(forwardedStatus))
                    .build());
            context.writeAndFlush(PeerWire.Frame.newBuilder()
                    .setResponseEnd(PeerWire.ResponseEnd.newBuilder().setStream(stream))
                    .build());
        }
    }

    private RecordingSink request(int status) {
        forwardedStatus = status;
        RecordingSink sink = new RecordingSink();
        client.handle(
                new RoutedRequest(
                        "a",
                        new ShardId(new ApplicationId("ledger"), 3),
                        77,
                        RequestClass.NON_REPEATABLE,
                        "POST",
                        "/holds",
                        List.of(),
                        new byte[0],
                        nowMillis() + 10_000,
                        Optional.of("key"),
                        0),
                sink);
        await().until(() -> sink.ended || sink.failure != null);
        return sink;
    }

    /** Guards against "not run" for a request that another VM's server ran, also while that VM is not upgraded yet. */
    @ParameterizedTest
    @ValueSource(ints = {503, 429, 408, 421})
    void promiseThatAnOlderVersionForwardsIsAFailureWithUnknownOutcome(int status) {
        RecordingSink sink = request(status);
        assertThat(sink.status).isZero();
        assertThat(sink.failure.code()).isEqualTo(ResultCode.SERVER_FAILED);
        await().until(() -> received.contains(PeerWire.Frame.BodyCase.REQUEST_CANCEL));
    }

    @Test
    void statusThatPromisesNothingIsForwarded() {
        RecordingSink sink = request(500);
        assertThat(sink.status).isEqualTo(500);
        assertThat(sink.ended).isTrue();
    }
}
