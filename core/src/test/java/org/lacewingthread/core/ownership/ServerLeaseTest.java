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

class ServerLeaseTest {
    private static final ControlSettings SETTINGS = ControlSettings.DEFAULT;
    private static final ServerId SERVER = new ServerId("s0");
    private static final ShardId FIRST = new ShardId(new ApplicationId("ledger"), 1);
    private static final ShardId SECOND = new ShardId(new ApplicationId("ledger"), 2);
    private static final Term TERM = new Term(new LogOffset(3), 0, new VmStart(new VmId("vm0"), 1));
    private static final long FULL_MILLIS =
            SETTINGS.lengthenedByClockMargin(SETTINGS.serverLeaseMillis() + SETTINGS.startByMillis());

    private final ServerLease lease = new ServerLease(SERVER, SETTINGS, EnumSet.allOf(SafetyRule.class), 0);

    @Test
    void oneOrderRenewsAllShards() {
        lease.grant(FIRST, token(1));
        lease.grant(SECOND, token(2));

        ServerOrder.Renew order = (ServerOrder.Renew) next(0).orElseThrow();

        assertThat(order.shards())
                .containsExactly(
                        new ServerOrder.GrantedShard(FIRST, token(1)), new ServerOrder.GrantedShard(SECOND, token(2)));
        assertThat(order.token()).isEqualTo(token(2));
    }

    @Test
    void noOrderGoesOutWhileOneIsUnanswered() {
        lease.grant(FIRST, token(1));
        assertThat(next(0)).isPresent();
        lease.grant(SECOND, token(2));

        assertThat(next(SETTINGS.serverRenewalMillis())).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {10, 200, 500, 900})
    void aRetryEndsNoLaterThanTheOrderThatFailedCouldHave(long failsAfterMillis) {
        lease.grant(FIRST, token(1));
        ServerOrder failed = next(0).orElseThrow();
        lease.failed(failed.sequence(), failsAfterMillis);
        long retryAt = failsAfterMillis + SETTINGS.heartbeatMillis();

        next(retryAt).map(ServerOrder.Renew.class::cast).ifPresent(retry -> assertThat(
                        retryAt + SETTINGS.lengthenedByClockMargin(retry.leaseMillis() + retry.startByMillis()))
                .isLessThanOrEqualTo(FULL_MILLIS + 1));
        assertThat(lease.withdraw(FIRST)).isLessThanOrEqualTo(FULL_MILLIS + 1);
    }

    @Test
    void anOrderThatIsNeverAnsweredCountsAsFailedOnceItCannotTakeEffect() {
        lease.grant(FIRST, token(1));
        assertThat(next(0)).isPresent();

        assertThat(next(FULL_MILLIS - 1)).isEmpty();
        next(FULL_MILLIS);
        assertThat(next(FULL_MILLIS + SETTINGS.heartbeatMillis())).isPresent();
    }

    @Test
    void aShardGrantedAfterTheOrderWasSentIsNotConfirmedByItsAnswer() {
        lease.grant(FIRST, token(1));
        ServerOrder order = next(0).orElseThrow();
        lease.grant(SECOND, token(2));
        lease.answered(order.sequence(), true, 5);

        assertThat(lease.isConfirmed(FIRST)).isTrue();
        assertThat(lease.isConfirmed(SECOND)).isFalse();
    }

    @Test
    void aReleaseCountsOnlyOnceItIsAcknowledged() {
        lease.grant(FIRST, token(1));
        lease.answered(next(0).orElseThrow().sequence(), true, 5);
        lease.withdraw(FIRST);
        lease.requestRelease(FIRST, token(3));
        ServerOrder release = next(400).orElseThrow();

        assertThat(release).isEqualTo(new ServerOrder.Release(SERVER, 2, token(3), List.of(FIRST)));
        assertThat(lease.takeReleased(FIRST)).isFalse();
        lease.answered(release.sequence(), true, 420);
        assertThat(lease.takeReleased(FIRST)).isTrue();
    }

    @Test
    void aRefusedRenewalNamesItsShards() {
        lease.grant(FIRST, token(1));
        lease.answered(next(0).orElseThrow().sequence(), false, 5);

        assertThat(lease.takeRefused()).containsExactly(FIRST);
        assertThat(lease.isConfirmed(FIRST)).isFalse();
    }

    private Optional<ServerOrder> next(long nowMillis) {
        return lease.nextOrder(true, nowMillis);
    }

    private static FencingToken token(long version) {
        return new FencingToken(TERM, version);
    }
}
