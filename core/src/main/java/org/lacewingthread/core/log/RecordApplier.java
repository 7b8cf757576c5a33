package org.lacewingthread.core.log;

import org.lacewingthread.core.id.LogOffset;

/** Applies one record to the state according to its type. */
final class RecordApplier {
    private RecordApplier() {}

    static ReplicaState apply(ReplicaState state, LogEntry entry) throws RejectedRecordException {
        LogOffset offset = entry.offset();
        LogRecord body = entry.body();
        if (body instanceof LogRecord.ConfigurationPublished record) {
            return ConfigurationApplier.publish(state, record, offset);
        }
        if (body instanceof LogRecord.RosterChanged record) {
            return RosterApplier.change(state, record, offset);
        }
        if (body instanceof LogRecord.RosterReset record) {
            return RosterApplier.reset(state, record, offset);
        }
        if (body instanceof LogRecord.LeaderClaimed record) {
            return LeadershipApplier.claim(state, record, offset);
        }
        if (body instanceof LogRecord.AssignmentsRecorded record) {
            return ShardApplier.assign(state, record);
        }
        if (body instanceof LogRecord.ShardsReleased record) {
            return ShardApplier.release(state, record);
        }
        if (body instanceof LogRecord.DataCentreHandedOver record) {
            return ShardApplier.handOver(state, record);
        }
        return applyOther(state, body);
    }

    private static ReplicaState applyOther(ReplicaState state, LogRecord body) throws RejectedRecordException {
        if (body instanceof LogRecord.ServerDrainSet record) {
            return DrainApplier.drainServer(state, record);
        }
        if (body instanceof LogRecord.VmDrainSet record) {
            return DrainApplier.drainVm(state, record);
        }
        if (body instanceof LogRecord.KeysSplit record) {
            return SplitKeyApplier.split(state, record);
        }
        if (body instanceof LogRecord.KeysMerged record) {
            return SplitKeyApplier.merge(state, record);
        }
        return state;
    }
}
