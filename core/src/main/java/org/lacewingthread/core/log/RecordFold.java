package org.lacewingthread.core.log;

import org.lacewingthread.core.id.LogOffset;

/** Folds one record into the state by its kind. */
final class RecordFold {
    private RecordFold() {}

    static ReplicaState fold(ReplicaState state, LogEntry entry) throws RejectedRecordException {
        LogOffset offset = entry.offset();
        LogRecord body = entry.body();
        if (body instanceof LogRecord.ConfigurationPublished record) {
            return ConfigurationFold.publish(state, record, offset);
        }
        if (body instanceof LogRecord.RosterChanged record) {
            return RosterFold.change(state, record, offset);
        }
        if (body instanceof LogRecord.RosterReset record) {
            return RosterFold.reset(state, record, offset);
        }
        if (body instanceof LogRecord.LeaderClaimed record) {
            return LeadershipFold.claim(state, record, offset);
        }
        if (body instanceof LogRecord.AssignmentsRecorded record) {
            return ShardFold.assign(state, record);
        }
        if (body instanceof LogRecord.ShardsReleased record) {
            return ShardFold.release(state, record);
        }
        if (body instanceof LogRecord.DataCentreHandedOver record) {
            return ShardFold.handOver(state, record);
        }
        return foldOther(state, body);
    }

    private static ReplicaState foldOther(ReplicaState state, LogRecord body) throws RejectedRecordException {
        if (body instanceof LogRecord.ServerDrainSet record) {
            return DrainFold.drainServer(state, record);
        }
        if (body instanceof LogRecord.VmDrainSet record) {
            return DrainFold.drainVm(state, record);
        }
        if (body instanceof LogRecord.KeysSplit record) {
            return SplitKeyFold.split(state, record);
        }
        if (body instanceof LogRecord.KeysMerged record) {
            return SplitKeyFold.merge(state, record);
        }
        return state;
    }
}
