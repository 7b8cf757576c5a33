package org.lacewingthread.daemon.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.daemon.dispatch.ControlViewFactory;
import org.lacewingthread.standin.BackendFaults;
import org.lacewingthread.standin.BackendServerStandIn;
import org.lacewingthread.standin.BackendSettings;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class ServerOrderSenderTest {
    private static final ShardId SHARD = new ShardId(new ApplicationId("ledger"), 12);

    private final List<String> results = new CopyOnWriteArrayList<>();
    private final AtomicLong nowMillis = new AtomicLong(1_000);
    private BackendServerStandIn backend;
    private ServerSpec server;
    private XnioWorker worker;
    private ServerOrderSender sender;

    @BeforeEach
    void start() throws Exception {
        backend = new BackendServerStandIn(0, BackendSettings.of("s1").withChecksTokens(true));
        server = ControlViewFactory.server("s1", backend.uri().getPort(), 20);
        worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
        sender = new ServerOrderSender(worker, nowMillis::get, new ServerOrderSender.Listener() {
            @Override
            public void answered(ServerId id, long sequence, boolean accepted) {
                results.add(sequence + (accepted ? " accepted" : " rejected"));
            }

            @Override
            public void failed(ServerId id, long sequence) {
                results.add(sequence + " failed");
            }
        });
    }

    @AfterEach
    void stop() {
        worker.shutdownNow();
        backend.close();
    }

    private static FencingToken token(long version) {
        return new FencingToken(new Term(new LogOffset(1), 0, new VmStart(new VmId("maras-1"), 1)), version);
    }

    private ServerOrder renew(long sequence, long version) {
        List<ServerOrder.GrantedShard> shards = List.of(new ServerOrder.GrantedShard(SHARD, token(version)));
        return new ServerOrder.Renew(server.id(), sequence, token(version), 60_000, 60_000, shards);
    }

    private void sendAndAwait(ServerOrder order, String result) {
        sender.send(server, order, 2_000);
        Awaitility.await().until(() -> results.contains(result));
    }

    @Test
    void acceptedRenewalGrantsTheShardAndReleaseEndsIt() {
        sendAndAwait(renew(1, 5), "1 accepted");
        assertThat(backend.heldShards()).containsExactly("ledger/12");
        sendAndAwait(new ServerOrder.Release(server.id(), 2, token(6), List.of(SHARD)), "2 accepted");
        assertThat(backend.heldShards()).isEmpty();
    }

    @Test
    void orderWithALowerTokenIsReportedAsRejected() {
        sendAndAwait(renew(1, 5), "1 accepted");
        sendAndAwait(renew(2, 4), "2 rejected");
    }

    @Test
    void orderIsNotSentAfterItsDeadline() {
        nowMillis.set(2_000);
        sendAndAwait(renew(1, 5), "1 failed");
        assertThat(backend.heldShards()).isEmpty();
    }

    @Test
    void secondOrderIsNotSentWhileTheFirstIsUnanswered() {
        backend.setFaults(BackendFaults.NONE.withFrozen(true));
        sender.send(server, renew(1, 5), 2_000);
        sendAndAwait(renew(2, 6), "2 failed");
        assertThat(results).containsExactly("2 failed");
        backend.setFaults(BackendFaults.NONE);
        Awaitility.await().until(() -> results.contains("1 accepted") || results.contains("1 failed"));
        sendAndAwait(renew(3, 7), "3 accepted");
    }
}
