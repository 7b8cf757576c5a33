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
import org.lacewingthread.daemon.peer.IdempotencyRecordService;
import org.lacewingthread.daemon.peer.PeerNetwork;

/**
 * Replicates idempotency records to a second entry VM of the data centre. As two processes hold each
 * record, a collection is complete if every other current member replied and at most one process left
 * the roster within the retention window.
 */
final class PeerRecordReplicator implements IdempotencyRecordReplicator {
    private static final int MAX_PUT_ATTEMPTS = 2;

    private final TrafficState state;
    private final PeerNetwork network;
    private final RosterHistory history;
    private final LongSupplier clockMillis;
    private final AtomicInteger nextMemberIndex = new AtomicInteger();

    PeerRecordReplicator(TrafficState state, PeerNetwork network, RosterHistory history, LongSupplier clockMillis) {
        this.state = state;
        this.network = network;
        this.history = history;
        this.clockMillis = clockMillis;
    }

    @Override
    public void replicate(IdempotencyRecord record, Consumer<ReplicationResult> onResult) {
        List<RosterMember> others = otherMembers();
        if (others.isEmpty()) {
            onResult.accept(ReplicationResult.NO_OTHER_VM);
            return;
        }
        putOnMember(
                others, nextMemberIndex.getAndIncrement(), Math.min(MAX_PUT_ATTEMPTS, others.size()), record, onResult);
    }

    private void putOnMember(
            List<RosterMember> others,
            int index,
            int attemptsLeft,
            IdempotencyRecord record,
            Consumer<ReplicationResult> onResult) {
        RosterMember member = others.get(Math.floorMod(index, others.size()));
        network.putRecord(member, record, stored -> {
            if (stored) {
                onResult.accept(ReplicationResult.ACKNOWLEDGED);
            } else if (attemptsLeft > 1) {
                putOnMember(others, index + 1, attemptsLeft - 1, record, onResult);
            } else {
                onResult.accept(ReplicationResult.FAILED);
            }
        });
    }

    @Override
    public void collect(Set<ShardId> shards, Consumer<CollectedRecords> onResult) {
        List<RosterMember> others = otherMembers();
        RecordCollection collection = new RecordCollection(others.size(), onResult);
        if (others.isEmpty()) {
            collection.reportResult();
            return;
        }
        others.forEach(member -> network.collectRecords(member, shards, collection::onReply));
    }

    private List<RosterMember> otherMembers() {
        ControlView view = state.snapshot().view();
        if (view == null) {
            return List.of();
        }
        return view.state().roster(view.dataCentre()).stream()
                .filter(member -> !member.start().equals(view.self()))
                .toList();
    }

    /** Gathers the replies of all asked members to one collect request. */
    private final class RecordCollection {
        private final Consumer<CollectedRecords> onResult;
        private final List<IdempotencyRecord> records = new ArrayList<>();
        private int pendingReplies;
        private boolean allReplied = true;

        RecordCollection(int askedMembers, Consumer<CollectedRecords> onResult) {
            this.pendingReplies = askedMembers;
            this.onResult = onResult;
        }

        synchronized void onReply(Optional<IdempotencyRecordService.CollectReply> reply) {
            reply.ifPresentOrElse(this::addReply, () -> allReplied = false);
            pendingReplies--;
            if (pendingReplies == 0) {
                reportResult();
            }
        }

        private void addReply(IdempotencyRecordService.CollectReply reply) {
            records.addAll(reply.records());
            history.merge(reply.departedProcesses(), reply.coversWholeWindow(), clockMillis.getAsLong());
        }

        synchronized void reportResult() {
            boolean complete = allReplied
                    && history.coversWholeWindow(clockMillis.getAsLong())
                    && history.departedProcesses().size() <= 1;
            onResult.accept(new CollectedRecords(records, complete));
        }
    }
}
