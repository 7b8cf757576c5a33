package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.KeyRange;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;

class RangeTableChangesTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServerStart FIRST = new ServerStart(new ServerId("i-1"), 11);
    private static final ServerStart SECOND = new ServerStart(new ServerId("i-2"), 22);

    @Test
    void changesNameMovingAndSettledRangesButNotUnchangedOnes() {
        RangeTable before = RangeTable.EMPTY.withRanges(
                ORDERS,
                List.of(
                        RangeOwnership.settled(new KeyRange(0, 99), FIRST),
                        new RangeOwnership(new KeyRange(100, 199), SECOND, Optional.of(FIRST)),
                        RangeOwnership.settled(new KeyRange(200, 299), FIRST)));
        RangeTable after = RangeTable.EMPTY.withRanges(
                ORDERS,
                List.of(
                        new RangeOwnership(new KeyRange(0, 99), SECOND, Optional.of(FIRST)),
                        RangeOwnership.settled(new KeyRange(100, 199), SECOND),
                        RangeOwnership.settled(new KeyRange(200, 299), FIRST)));
        RangeTableChanges changes = RangeTableChanges.between(before, after);
        assertThat(changes.listed()).containsExactly("orders:0-99 i-1@11>i-2@22", "orders:100-199 i-2@22");
        assertThat(changes.unlistedCount()).isZero();
    }

    @Test
    void changesBeyondTheLimitAreCountedInsteadOfListed() {
        List<RangeOwnership> moving = IntStream.range(0, RangeTableChanges.MAX_LISTED + 5)
                .mapToObj(i -> new RangeOwnership(new KeyRange(i, i), SECOND, Optional.of(FIRST)))
                .toList();
        RangeTableChanges changes =
                RangeTableChanges.between(RangeTable.EMPTY, RangeTable.EMPTY.withRanges(ORDERS, moving));
        assertThat(changes.listed()).hasSize(RangeTableChanges.MAX_LISTED);
        assertThat(changes.unlistedCount()).isEqualTo(5);
    }
}
