package org.lacewingthread.core.log;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.lacewingthread.core.config.ConfigurationDiff;
import org.lacewingthread.core.control.AuditLine;

/**
 * Describes log entries for the audit trail: the author, the time, the change and its base revision,
 * and for a rejected record the reason.
 *
 * <pre>{@code
 * ReplicaState before = replica.state();
 * ApplyResult result = replica.apply(entry);
 * AuditTrail.describe(before, entry, result).ifPresent(this::write);
 * }</pre>
 */
public final class AuditTrail {
    private static final int MAX_LISTED_ITEMS = 5;
    private static final int MAX_LISTED_CHANGES = 50;
    private static final String UNKNOWN_AUTHOR = "unknown";

    private AuditTrail() {}

    /**
     * Returns the audit line of an entry; empty if the replica did not consume the entry.
     *
     * @param before state of the replica before the entry
     * @param entry the entry to describe
     * @param result result of applying the entry
     */
    public static Optional<AuditLine> describe(ReplicaState before, LogEntry entry, ApplyResult result) {
        if (!result.outcome().isConsumed()) {
            return Optional.empty();
        }
        RecordHeader header = entry.header();
        String difference = describeChange(before, entry.body());
        return Optional.of(new AuditLine(
                entry.offset(),
                header == null ? UNKNOWN_AUTHOR : header.author(),
                header == null ? 0 : header.writtenAtEpochMillis(),
                kindOf(entry.body()),
                result.isAccepted(),
                result.isAccepted() ? difference : describeRejection(result, difference)));
    }

    private static String describeRejection(ApplyResult result, String difference) {
        String outcome = result.outcome().name().toLowerCase(Locale.ROOT);
        return outcome + ": " + result.reason() + (difference.isEmpty() ? "" : "; wanted: " + difference);
    }

    /** Returns the kind of a record in lower case with hyphens, for example {@code leader-claimed}. */
    public static String kindOf(LogRecord body) {
        return kindOf(body.getClass());
    }

    static String kindOf(Class<?> kind) {
        return kind.getSimpleName().replaceAll("(?<=[a-z])(?=[A-Z])", "-").toLowerCase(Locale.ROOT);
    }

    private static String describeChange(ReplicaState before, LogRecord body) {
        if (body instanceof LogRecord.ConfigurationPublished record) {
            return "base " + record.baseRevision() + ": " + describeConfigurationChanges(before, record);
        }
        if (body instanceof LogRecord.RosterChanged record) {
            return describeRosterChange(
                    before.roster(record.dataCentre()), record.members(), "roster of " + record.dataCentre());
        }
        if (body instanceof LogRecord.RosterReset record) {
            return describeRosterChange(
                            before.roster(record.dataCentre()), record.members(), "roster of " + record.dataCentre())
                    + " (" + record.reason() + ")";
        }
        if (body instanceof LogRecord.LeaderClaimed record) {
            return record.claimant() + " leads " + record.dataCentre() + " after claim " + record.followsClaim();
        }
        if (body instanceof LogRecord.AssignmentsRecorded record) {
            return "term " + record.term() + ": " + describeAssignments(before, record);
        }
        return describeOtherChange(body);
    }

    private static String describeOtherChange(LogRecord body) {
        if (body instanceof LogRecord.ShardsReleased record) {
            return record.dataCentre() + " releases to " + record.target() + ": " + joinLimited(record.shards());
        }
        if (body instanceof LogRecord.DataCentreHandedOver record) {
            return record.from() + " is handed over to " + record.target() + " (" + record.reason() + ")";
        }
        if (body instanceof LogRecord.ServerDrainSet record) {
            return "server " + record.server() + (record.draining() ? " drains" : " drains no longer");
        }
        if (body instanceof LogRecord.VmDrainSet record) {
            return "VM " + record.vm() + (record.draining() ? " drains" : " drains no longer");
        }
        if (body instanceof LogRecord.KeysSplit record) {
            return record.application() + " splits out keys " + formatHashes(record.keyHashes());
        }
        if (body instanceof LogRecord.KeysMerged record) {
            return record.application() + " merges keys " + formatHashes(record.keyHashes());
        }
        if (body instanceof LogRecord.SnapshotTaken record) {
            return "state after " + record.state().appliedOffset();
        }
        return "";
    }

    private static String describeConfigurationChanges(ReplicaState before, LogRecord.ConfigurationPublished record) {
        ConfigurationDiff diff = ConfigurationDiff.between(before.configuration(), record.configuration());
        return diff.isEmpty() ? "no change" : joinLimited(diff.changes(), MAX_LISTED_CHANGES);
    }

    private static String describeRosterChange(List<RosterMember> old, List<RosterMember> changed, String subject) {
        Stream<String> added = changed.stream().filter(m -> !old.contains(m)).map(m -> "+ " + m.start());
        Stream<String> removed = old.stream().filter(m -> !changed.contains(m)).map(m -> "- " + m.start());
        return subject + ": " + Stream.concat(added, removed).collect(Collectors.joining(", "));
    }

    private static String describeAssignments(ReplicaState before, LogRecord.AssignmentsRecorded record) {
        List<String> changes = record.assignments().stream()
                .map(assignment -> describeAssignment(before, assignment))
                .toList();
        return joinLimited(changes);
    }

    private static String describeAssignment(ReplicaState before, ShardAssignment assignment) {
        ShardTable table = before.shardTable(assignment.shard().application());
        ShardTable.Entry entry =
                table == null ? null : table.entry(assignment.shard().index());
        boolean assigned = entry != null && entry.assignment() != null;
        String old = assigned ? entry.assignment().owner().value() : "none";
        return assignment.shard() + " " + old + " -> " + assignment.owner();
    }

    private static String formatHashes(List<Long> keyHashes) {
        return joinLimited(keyHashes.stream().map(Long::toHexString).toList());
    }

    private static String joinLimited(List<?> parts) {
        return joinLimited(parts, MAX_LISTED_ITEMS);
    }

    private static String joinLimited(List<?> parts, int max) {
        String first = parts.stream().limit(max).map(String::valueOf).collect(Collectors.joining(", "));
        int more = parts.size() - max;
        return more > 0 ? first + " and " + more + " more" : first;
    }
}
