package org.lacewingthread.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;

/** Tests which orders a server lease sends and which expiry it assumes. */
class ServerLeaseTest {
    private static final ControlSettings SETTINGS = ControlSettings.DEFAULT;
    private static final ServerId SERVER = new ServerId("s0");
    private static final ShardId FIRST_SHARD = new ShardId(new ApplicationId("ledger"), 1);
    private static final ShardId SECOND_SHARD = new ShardId(new ApplicationId("ledger"), 2);
    private static final Term TERM = new Term(new LogOffset(3), 0, new VmStart(new VmId("vm0"), 1));
    private static final long FULL_MILLIS =
            SETTINGS.lengthenedByClockMargin(SETTINGS.serverLeaseMillis() + SETTINGS.startByMillis());

    private final ServerLease lease = new ServerLease(SERVER, SETTINGS, EnumSet.allOf(SafetyRule.class), 0);

    @Test
    void singleOrderRenewsAllShards() {
        lease.grant(FIRST_SHARD, token(1));
        lease.grant(SECOND_SHARD, token(2));

        ServerOrder.Renew order = (ServerOrder.Renew) next(0).orElseThrow();

        assertThat(order.shards())
                .containsExactly(
                        new ServerOrder.GrantedShard(FIRST_SHARD, token(1)),
                        new ServerOrder.GrantedShard(SECOND_SHARD, token(2)));
        assertThat(order.token()).isEqualTo(token(2));
    }

    @Test
    void noOrderIsSentWhileOneIsUnanswered() {
        lease.grant(FIRST_SHARD, token(1));
        assertThat(next(0)).isPresent();
        lease.grant(SECOND_SHARD, token(2));

        assertThat(next(SETTINGS.serverRenewalMillis())).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {10, 200, 500, 900})
    void retryExpiresNoLaterThanFailedOrder(long failsAfterMillis) {
        lease.grant(FIRST_SHARD, token(1));
        ServerOrder failed = next(0).orElseThrow();
        lease.orderFailed(failed.sequence(), failsAfterMillis);
        long retryAt = failsAfterMillis + SETTINGS.heartbeatMillis();

        next(retryAt).map(ServerOrder.Renew.class::cast).ifPresent(retry -> assertThat(
                        retryAt + SETTINGS.lengthenedByClockMargin(retry.leaseMillis() + retry.startByMillis()))
                .isLessThanOrEqualTo(FULL_MILLIS + 1));
        assertThat(lease.withdraw(FIRST_SHARD)).isLessThanOrEqualTo(FULL_MILLIS + 1);
    }

    @Test
    void unansweredOrderFailsOnceItCanNoLongerTakeEffect() {
        lease.grant(FIRST_SHARD, token(1));
        assertThat(next(0)).isPresent();

        assertThat(next(FULL_MILLIS - 1)).isEmpty();
        next(FULL_MILLIS);
        assertThat(next(FULL_MILLIS + SETTINGS.heartbeatMillis())).isPresent();
    }

    @Test
    void shardGrantedAfterOrderWasSentIsNotConfirmedByItsAnswer() {
        lease.grant(FIRST_SHARD, token(1));
        ServerOrder order = next(0).orElseThrow();
        lease.grant(SECOND_SHARD, token(2));
        lease.orderAnswered(order.sequence(), true, 5);

        assertThat(lease.isConfirmed(FIRST_SHARD)).isTrue();
        assertThat(lease.isConfirmed(SECOND_SHARD)).isFalse();
    }

    @Test
    void releaseCountsOnlyOnceAcknowledged() {
        lease.grant(FIRST_SHARD, token(1));
        lease.orderAnswered(next(0).orElseThrow().sequence(), true, 5);
        lease.withdraw(FIRST_SHARD);
        lease.requestRelease(FIRST_SHARD, token(3));
        ServerOrder release = next(400).orElseThrow();

        assertThat(release).isEqualTo(new ServerOrder.Release(SERVER, 2, token(3), List.of(FIRST_SHARD)));
        assertThat(lease.takeReleased(FIRST_SHARD)).isFalse();
        lease.orderAnswered(release.sequence(), true, 420);
        assertThat(lease.takeReleased(FIRST_SHARD)).isTrue();
    }

    @Test
    void refusedRenewalReportsItsShards() {
        lease.grant(FIRST_SHARD, token(1));
        lease.orderAnswered(next(0).orElseThrow().sequence(), false, 5);

        assertThat(lease.takeRefused()).containsExactly(FIRST_SHARD);
        assertThat(lease.isConfirmed(FIRST_SHARD)).isFalse();
    }

    private Optional<ServerOrder> next(long nowMillis) {
        return lease.nextOrder(true, nowMillis);
    }

    private static FencingToken token(long version) {
        return new FencingToken(TERM, version);
    }
}
