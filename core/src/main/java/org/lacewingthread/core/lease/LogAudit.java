package org.lacewingthread.core.lease;

import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.control.AuditLine;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.log.ApplyResult;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RosterMember;

/** Writes leadership and membership records of the log to the audit trail. */
final class LogAudit {
    private LogAudit() {}

    static void write(LogEntry entry, ApplyResult result, Outbox outbox) {
        Optional<Description> description = describe(entry.body());
        if (description.isEmpty() || result.outcome() == ApplyResult.Outcome.DUPLICATE) {
            return;
        }
        String suffix = result.isAccepted() ? "" : "; rejected: " + result.reason();
        AuditLine line = new AuditLine(
                entry.offset(),
                entry.header().author(),
                entry.header().writtenAtEpochMillis(),
                description.get().kind(),
                result.isAccepted(),
                description.get().detail() + suffix);
        outbox.add(new ControlAction.Audit(line));
    }

    private record Description(String kind, String detail) {}

    private static Optional<Description> describe(LogRecord body) {
        if (body instanceof LogRecord.RosterChanged change) {
            String detail = change.dataCentre() + " base " + change.baseRevision() + " to " + names(change.members());
            return Optional.of(new Description("roster-changed", detail));
        }
        if (body instanceof LogRecord.RosterReset reset) {
            String detail = reset.dataCentre() + " base " + reset.baseRevision() + " to " + names(reset.members())
                    + ": " + reset.reason();
            return Optional.of(new Description("roster-reset", detail));
        }
        if (body instanceof LogRecord.LeaderClaimed claim) {
            String detail = claim.dataCentre() + " by " + claim.claimant() + " after claim " + claim.followsClaim();
            return Optional.of(new Description("leader-claimed", detail));
        }
        if (body instanceof LogRecord.VmDrainSet drain) {
            return Optional.of(new Description("vm-drain-set", drain.vm() + " " + drain.draining()));
        }
        return Optional.empty();
    }

    private static List<String> names(List<RosterMember> members) {
        return members.stream().map(m -> m.start().toString()).toList();
    }
}
