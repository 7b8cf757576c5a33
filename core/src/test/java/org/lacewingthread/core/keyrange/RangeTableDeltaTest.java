package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

class RangeTableDeltaTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServiceId DESK = new ServiceId("desk");

    private final SplittableRandom random = new SplittableRandom(5);

    private ServerStart server() {
        return new ServerStart(new ServerId("s" + random.nextInt(8)), 1);
    }

    private List<RangeOwnership> randomRanges() {
        TreeSet<Integer> firstKeys = new TreeSet<>(List.of(0));
        int count = random.nextInt(1, 30);
        for (int i = 0; i < count; i++) {
            firstKeys.add(random.nextInt(KeyRange.ALL.size()));
        }
        List<RangeOwnership> ranges = new ArrayList<>();
        for (int firstKey : firstKeys) {
            Integer next = firstKeys.higher(firstKey);
            KeyRange range = new KeyRange(firstKey, next == null ? KeyRange.MAX_KEY : next - 1);
            ranges.add(new RangeOwnership(
                    range, server(), random.nextBoolean() ? Optional.of(server()) : Optional.empty()));
        }
        return ranges;
    }

    @Test
    void deltaTurnsTheEarlierTableIntoTheLaterOne() {
        for (int i = 0; i < 200; i++) {
            RangeTable earlier = RangeTable.EMPTY.withRanges(ORDERS, randomRanges());
            RangeTable later = earlier.withRanges(ORDERS, randomRanges());
            later = random.nextBoolean() ? later.withRanges(DESK, randomRanges()) : later;
            assertThat(RangeTableDelta.between(earlier, later).applyTo(earlier)).contains(later);
        }
    }

    @Test
    void deltaHasOnlyTheChangedRanges() {
        RangeTable earlier = RangeTable.EMPTY.withRanges(ORDERS, randomRanges()).withRanges(DESK, randomRanges());
        KeyRange first = earlier.ranges(ORDERS).get(0).range();
        List<RangeOwnership> ranges = new ArrayList<>(earlier.ranges(ORDERS));
        RangeOwnership changed = RangeOwnership.settled(first, new ServerStart(new ServerId("s9"), 1));
        ranges.set(0, changed);
        RangeTableDelta delta = RangeTableDelta.between(earlier, earlier.withRanges(ORDERS, ranges));
        assertThat(delta.changes().ranges(ORDERS)).containsExactly(changed);
        assertThat(delta.changes().ranges(DESK)).isEmpty();
    }

    /** Guards against a mixture of two tables at a VM that does not know the earlier one. */
    @Test
    void deltaOfAnotherTableIsNotApplied() {
        RangeTable earlier = RangeTable.EMPTY.withRanges(ORDERS, randomRanges());
        RangeTable other = RangeTable.EMPTY.withRanges(ORDERS, randomRanges());
        List<RangeOwnership> ranges = new ArrayList<>(earlier.ranges(ORDERS));
        ranges.set(0, RangeOwnership.settled(ranges.get(0).range(), new ServerStart(new ServerId("s9"), 1)));
        RangeTableDelta delta = RangeTableDelta.between(earlier, earlier.withRanges(ORDERS, ranges));
        assertThat(delta.applyTo(other)).isEmpty();
    }

    /** Guards against keys that lost their owner and keep it where only the difference is known. */
    @Test
    void deltaWithKeysThatLostTheirOwnerIsNotApplied() {
        RangeTable earlier = RangeTable.EMPTY.withRanges(ORDERS, randomRanges());
        List<RangeOwnership> ranges = new ArrayList<>(earlier.ranges(ORDERS));
        ranges.remove(0);
        RangeTableDelta delta = RangeTableDelta.between(earlier, earlier.withRanges(ORDERS, ranges));
        assertThat(delta.applyTo(earlier)).isEmpty();
    }
}
