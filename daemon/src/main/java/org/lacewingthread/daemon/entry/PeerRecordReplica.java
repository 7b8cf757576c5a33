package org.lacewingthread.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.core.traffic.IdempotencyRecord;
import org.lacewingthread.daemon.dispatch.IdempotencyRecordReplicator;
import org.lacewingthread.daemon.dispatch.TrafficState;
import org.lacewingthread.daemon.peer.PeerNetwork;
import org.lacewingthread.daemon.peer.RecordService;

/**
 * Copies idempotency records to a second entry VM of the data centre. Each record has two holders, so
 * what is collected is complete when every present member answered and at most one process left the
 * roster within the window.
 */
final class PeerRecordReplica implements IdempotencyRecordReplicator {
    private static final int MAX_TRIES = 2;

    private final TrafficState state;
    private final PeerNetwork network;
    private final RosterHistory history;
    private final LongSupplier clockMillis;
    private final AtomicInteger turn = new AtomicInteger();

    PeerRecordReplica(TrafficState state, PeerNetwork network, RosterHistory history, LongSupplier clockMillis) {
        this.state = state;
        this.network = network;
        this.history = history;
        this.clockMillis = clockMillis;
    }

    @Override
    public void replicate(IdempotencyRecord record, Consumer<ReplicationResult> onResult) {
        List<RosterMember> others = others();
        if (others.isEmpty()) {
            onResult.accept(ReplicationResult.NO_OTHER_VM);
            return;
        }
        putAt(others, turn.getAndIncrement(), Math.min(MAX_TRIES, others.size()), record, onResult);
    }

    private void putAt(
            List<RosterMember> others,
            int index,
            int triesLeft,
            IdempotencyRecord record,
            Consumer<ReplicationResult> onResult) {
        RosterMember member = others.get(Math.floorMod(index, others.size()));
        network.putRecord(member, record, stored -> {
            if (stored) {
                onResult.accept(ReplicationResult.ACKNOWLEDGED);
            } else if (triesLeft > 1) {
                putAt(others, index + 1, triesLeft - 1, record, onResult);
            } else {
                onResult.accept(ReplicationResult.FAILED);
            }
        });
    }

    @Override
    public void collect(Set<ShardId> shards, Consumer<CollectedRecords> onResult) {
        List<RosterMember> others = others();
        Collection collection = new Collection(others.size(), onResult);
        if (others.isEmpty()) {
            collection.finish();
            return;
        }
        others.forEach(member -> network.collectRecords(member, shards, collection::onAnswer));
    }

    private List<RosterMember> others() {
        ControlView view = state.snapshot().view();
        if (view == null) {
            return List.of();
        }
        return view.state().roster(view.dataCentre()).stream()
                .filter(member -> !member.start().equals(view.self()))
                .toList();
    }

    /** Answers to one question. */
    private final class Collection {
        private final Consumer<CollectedRecords> onResult;
        private final List<IdempotencyRecord> records = new ArrayList<>();
        private int missing;
        private boolean allAnswered = true;

        Collection(int asked, Consumer<CollectedRecords> onResult) {
            this.missing = asked;
            this.onResult = onResult;
        }

        synchronized void onAnswer(Optional<RecordService.Given> answer) {
            answer.ifPresentOrElse(this::take, () -> allAnswered = false);
            missing--;
            if (missing == 0) {
                finish();
            }
        }

        private void take(RecordService.Given given) {
            records.addAll(given.records());
            history.merge(given.gone(), given.wholeWindow(), clockMillis.getAsLong());
        }

        synchronized void finish() {
            boolean complete = allAnswered
                    && history.knowsWholeWindow(clockMillis.getAsLong())
                    && history.gone().size() <= 1;
            onResult.accept(new CollectedRecords(records, complete));
        }
    }
}
