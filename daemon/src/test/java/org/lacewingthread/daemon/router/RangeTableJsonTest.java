package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.keyrange.KeyRange;
import org.lacewingthread.core.keyrange.Leader;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;

class RangeTableJsonTest {
    private static final Leader FIRST = new Leader(new VmStart(new VmId("vm-1"), 5), "10.0.0.1", 7_000);
    private static final Leader SECOND = new Leader(new VmStart(new VmId("vm-2"), 6), "10.0.0.2", 7_000);

    @Test
    void tableIsUnchangedAfterWriteAndRead() throws IOException {
        ServerStart a = new ServerStart(new ServerId("a"), 1);
        ServerStart b = new ServerStart(new ServerId("b"), 2);
        RangeTable table = RangeTable.EMPTY
                .withLeader(1, FIRST)
                .withLeader(2, SECOND)
                .withRanges(
                        new ServiceId("orders"),
                        List.of(
                                RangeOwnership.settled(new KeyRange(0, 99), a),
                                new RangeOwnership(new KeyRange(100, 65_535), b, Optional.of(a))));
        assertThat(RangeTableJson.read(RangeTableJson.write(table))).isEqualTo(table);
        assertThat(RangeTableJson.readCompressed(RangeTableJson.writeCompressed(table)))
                .isEqualTo(table);
        assertThat(table.formerLeaders()).containsExactly(FIRST);
    }

    /** Guards against a loss of the store's records that the next leader forgets. */
    @Test
    void eraAndPendingLossAreUnchangedAfterWriteAndRead() throws IOException {
        RangeTable table = RangeTable.EMPTY.withLeader(3_000_008, FIRST).inEra(3, true);
        assertThat(RangeTableJson.read(RangeTableJson.write(table))).isEqualTo(table);
    }

    /** Guards against tables of a store without eras that earlier builds write or read differently. */
    @Test
    void tableOfAStoreWithoutErasStatesNone() throws IOException {
        RangeTable table = RangeTable.EMPTY.withLeader(1, FIRST);
        assertThat(new String(RangeTableJson.write(table), StandardCharsets.UTF_8))
                .doesNotContain("era", "lossPending");
        assertThat(RangeTableJson.read(RangeTableJson.write(table)).era()).isZero();
    }

    @Test
    void bytesThatAreNoTableAreRejected() {
        for (String text : List.of("", "7", "{}", "{\"term\":1}", "{\"services\":{\"x\":[[1]]}}", "\u0000")) {
            assertThatThrownBy(() -> RangeTableJson.read(text.getBytes(StandardCharsets.UTF_8)))
                    .as(text)
                    .isInstanceOf(IOException.class);
        }
    }
}
