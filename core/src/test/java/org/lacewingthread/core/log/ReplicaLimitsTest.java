package org.lacewingthread.core.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.ApplyResult.Outcome;

class ReplicaLimitsTest {
    private final LogFixture log = LogFixture.bootstrapped();

    @Test
    void dropsTheLeastRecentWriterAboveTheLimit() {
        for (int i = 0; i < DuplicateRecordFilter.MAX_WRITERS + 10; i++) {
            write("late-" + i, 0);
        }

        assertThat(log.state().lastSequences()).hasSize(DuplicateRecordFilter.MAX_WRITERS);
        assertThat(log.state().lastOffsets().keySet())
                .isEqualTo(log.state().lastSequences().keySet());
        assertThat(write("late-10", 0).outcome()).isEqualTo(Outcome.DUPLICATE);
        assertThat(write("late-9", 0).outcome()).isEqualTo(Outcome.ACCEPTED);
    }

    @Test
    void replicaStartedFromASnapshotDropsTheSameWriters() {
        for (int i = 0; i < DuplicateRecordFilter.MAX_WRITERS - 5; i++) {
            write("early-" + i, 0);
        }
        LogReplica other = new LogReplica(log.state());
        for (int i = 0; i < 300; i++) {
            write(i % 3 == 0 ? "early-" + i : "late-" + i, 1);
        }

        log.entries.forEach(other::apply);
        assertThat(other.state()).isEqualTo(log.state());
    }

    private ApplyResult write(String writer, long sequence) {
        RecordHeader header = new RecordHeader(new WriterId(writer), sequence, "ana", 0);
        return log.append(header, new LogRecord.ServerDrainSet(new ServerId("s1"), sequence % 2 == 0));
    }

    @Test
    void rejectsSplitKeysAboveTheLimitAndReusesMergedIndexes() {
        Term term = LogFixture.term(3, 0, LogFixture.M1);
        log.append(LogFixture.assign(LogFixture.MARAS, term, LogFixture.assignment(0, "s1", term, 1)));
        assertThat(split(term, 0, ShardTable.MAX_SPLIT_KEYS).outcome()).isEqualTo(Outcome.ACCEPTED);
        assertThat(split(term, ShardTable.MAX_SPLIT_KEYS, 1).outcome()).isEqualTo(Outcome.CONFLICT);

        log.append(new LogRecord.KeysMerged(LogFixture.MARAS, term, LogFixture.LEDGER, hashes(5, 2)));
        assertThat(split(term, ShardTable.MAX_SPLIT_KEYS, 2).outcome()).isEqualTo(Outcome.ACCEPTED);

        ShardTable table = log.state().shardTable(LogFixture.LEDGER);
        assertThat(table.entries()).hasSize(16 + ShardTable.MAX_SPLIT_KEYS).doesNotContainNull();
        assertThat(table.indexOf(hashes(ShardTable.MAX_SPLIT_KEYS, 1).get(0))).isEqualTo(16 + 5);
        assertThat(table.indexOf(hashes(5, 1).get(0))).isZero();
    }

    private ApplyResult split(Term term, int from, int count) {
        return log.append(new LogRecord.KeysSplit(LogFixture.MARAS, term, LogFixture.LEDGER, hashes(from, count)));
    }

    private static List<Long> hashes(int from, int count) {
        List<Long> hashes = new ArrayList<>();
        for (long i = from; i < from + count; i++) {
            hashes.add((i + 1) << 20);
        }
        return hashes;
    }

    @Property(seed = "4721", tries = 100)
    void shardEntriesMatchAListAndEarlierVersionsStayUnchanged(
            @ForAll @IntRange(min = 1, max = 3000) int size,
            @ForAll @Size(max = 30) List<@IntRange(min = 0, max = 3100) Integer> indexes) {
        List<ShardTable.Entry> model = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            model.add(entry(i));
        }
        ShardEntries entries = ShardEntries.copyOf(model);
        for (int index : indexes) {
            int target = Math.min(index, model.size());
            ShardEntries before = entries;
            List<ShardTable.Entry> modelBefore = List.copyOf(model);
            replace(model, target, entry(index));
            entries = entries.withAll(Map.of(target, entry(index)));
            assertThat(entries).isEqualTo(model);
            assertThat(before).isEqualTo(modelBefore);
        }
    }

    @Property(seed = "4722", tries = 100)
    void bulkReplacementMatchesReplacementOneByOne(
            @ForAll @IntRange(min = 1, max = 300) int size,
            @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 299) Integer> indexes) {
        List<ShardTable.Entry> model = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            model.add(entry(i));
        }
        ShardEntries entries = ShardEntries.copyOf(model);
        Map<Integer, ShardTable.Entry> changes = new HashMap<>();
        indexes.forEach(index -> changes.put(index % size, entry(index + 1000)));
        changes.forEach(model::set);
        assertThat(entries.withAll(changes)).isEqualTo(model);
    }

    private static void replace(List<ShardTable.Entry> model, int index, ShardTable.Entry entry) {
        if (index == model.size()) {
            model.add(entry);
        } else {
            model.set(index, entry);
        }
    }

    private static ShardTable.Entry entry(int number) {
        return new ShardTable.Entry(new DataCentreId("d" + number), null, null);
    }
}
