package org.lacewingthread.daemon.platform;

import java.util.Arrays;
import java.util.Optional;
import org.lacewingthread.core.log.LogRecord;

/** Kinds of log records with their type names in the encoded form. A type name is never reused for another meaning. */
enum RecordKind {
    CONFIGURATION_PUBLISHED("configuration-published", LogRecord.ConfigurationPublished.class),
    ROSTER_CHANGED("roster-changed", LogRecord.RosterChanged.class),
    ROSTER_RESET("roster-reset", LogRecord.RosterReset.class),
    LEADER_CLAIMED("leader-claimed", LogRecord.LeaderClaimed.class),
    ASSIGNMENTS_RECORDED("assignments-recorded", LogRecord.AssignmentsRecorded.class),
    SHARDS_RELEASED("shards-released", LogRecord.ShardsReleased.class),
    DATA_CENTRE_HANDED_OVER("data-centre-handed-over", LogRecord.DataCentreHandedOver.class),
    SERVER_DRAIN_SET("server-drain-set", LogRecord.ServerDrainSet.class),
    VM_DRAIN_SET("vm-drain-set", LogRecord.VmDrainSet.class),
    KEYS_SPLIT("keys-split", LogRecord.KeysSplit.class),
    KEYS_MERGED("keys-merged", LogRecord.KeysMerged.class),
    SNAPSHOT_TAKEN("snapshot-taken", LogRecord.SnapshotTaken.class),
    UNREADABLE("unreadable", LogRecord.Unreadable.class);

    private final String typeName;
    private final Class<? extends LogRecord> recordClass;

    RecordKind(String typeName, Class<? extends LogRecord> recordClass) {
        this.typeName = typeName;
        this.recordClass = recordClass;
    }

    String typeName() {
        return typeName;
    }

    Class<? extends LogRecord> recordClass() {
        return recordClass;
    }

    static RecordKind of(LogRecord body) {
        return Arrays.stream(values())
                .filter(kind -> kind.recordClass == body.getClass())
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("record type " + body.getClass() + " has no name"));
    }

    static Optional<RecordKind> byTypeName(String typeName) {
        return Arrays.stream(values())
                .filter(kind -> kind.typeName.equals(typeName))
                .findFirst();
    }
}
