package org.lacewingthread.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
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

class PlanCodecTest {
    private static final Term TERM = new Term(new LogOffset(7), 1, new VmStart(new VmId("maras-1"), 42));

    @Property(tries = 100, seed = "1")
    void decodedPlanEqualsTheEncodedPlan(
            @ForAll @IntRange(max = 300) int shards, @ForAll @IntRange(min = 1, max = 9) int servers) {
        RoutePlan plan = plan(shards, servers);
        assertThat(PlanCodec.decode(PlanCodec.encode(plan))).isEqualTo(plan);
    }

    @Property(tries = 100, seed = "2")
    void decodedUpdateEqualsTheEncodedUpdate(
            @ForAll @IntRange(max = 300) int shards, @ForAll @IntRange(min = 1, max = 9) int servers) {
        RoutePlan plan = plan(shards, servers);
        PlanUpdate update = new PlanUpdate(
                TERM,
                3,
                4,
                plan.dispatchers(),
                List.of(new ServerId("gone")),
                plan.owners(),
                List.copyOf(plan.owners().keySet()));
        assertThat(PlanCodec.decode(PlanCodec.encode(update))).isEqualTo(update);
    }

    @Test
    void largePlanTakesLessThanTwelveBytesPerShard() {
        int shards = 16_384;
        int maxBytesAShard = 12;
        assertThat(PlanCodec.encode(plan(shards, 300)).getSerializedSize()).isLessThan(shards * maxBytesAShard);
    }

    private static RoutePlan plan(int shards, int servers) {
        Random random = new Random(shards * 31L + servers);
        Map<ServerId, VmStart> dispatchers = new HashMap<>();
        for (int i = 0; i < servers; i++) {
            dispatchers.put(new ServerId("server-" + i), new VmStart(new VmId("vm-" + i % 3), i % 3));
        }
        Map<ShardId, RoutePlan.Ownership> owners = new HashMap<>();
        for (int i = 0; i < shards; i++) {
            ApplicationId application = new ApplicationId(random.nextBoolean() ? "ledger" : "customs");
            ServerId owner = new ServerId("server-" + random.nextInt(servers));
            owners.put(
                    new ShardId(application, i),
                    new RoutePlan.Ownership(owner, new FencingToken(TERM, random.nextInt(5))));
        }
        return new RoutePlan(TERM, 9, dispatchers, owners);
    }
}
