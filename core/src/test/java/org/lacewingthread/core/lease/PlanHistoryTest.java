package org.lacewingthread.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.control.PlanUpdate;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;

class PlanHistoryTest {
    private static final Term TERM = new Term(new LogOffset(3), 0, new VmStart(new VmId("maras-1"), 1));
    private static final int VERSIONS = 40;

    private final Map<Integer, RoutePlan> plans = new HashMap<>();
    private final PlanHistory history = new PlanHistory();

    PlanHistoryTest() {
        for (int version = 1; version <= VERSIONS; version++) {
            plans.put(version, plan(version));
            history.add(plan(version));
        }
    }

    /** Returns a plan version. Shard i changes its owner in version i. */
    private static RoutePlan plan(int version) {
        Map<ShardId, RoutePlan.Ownership> owners = new HashMap<>();
        for (int shard = 1; shard <= VERSIONS; shard++) {
            ServerId server = new ServerId(shard <= version ? "new" : "old");
            long tokenVersion = shard <= version ? shard : 0;
            owners.put(
                    new ShardId(new ApplicationId("ledger"), shard),
                    new RoutePlan.Ownership(server, new FencingToken(TERM, tokenVersion)));
        }
        return new RoutePlan(TERM, version, Map.of(), owners);
    }

    @ParameterizedTest
    @ValueSource(ints = {39, 38, 20, 8})
    void memberAtKeptVersionGetsDifference(int applied) {
        PlanUpdate update = history.updateFrom(applied).orElseThrow();
        assertThat(update.owners()).hasSize(VERSIONS - applied);
        assertThat(PlanUpdates.apply(Optional.of(plans.get(applied)), update)).contains(plans.get(VERSIONS));
    }

    @ParameterizedTest
    @ValueSource(longs = {-1, 1, 7})
    void memberAtDroppedVersionGetsWholePlan(long applied) {
        PlanUpdate update = history.updateFrom(applied).orElseThrow();
        assertThat(update.fromVersion()).isEqualTo(PlanUpdate.WHOLE_PLAN);
        assertThat(PlanUpdates.apply(Optional.empty(), update)).contains(plans.get(VERSIONS));
    }

    @Test
    void memberAtNewestVersionGetsNoUpdate() {
        assertThat(history.updateFrom(VERSIONS)).isEmpty();
    }
}
