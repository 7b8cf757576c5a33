package org.lacewingthread.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.PeerMessage;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.LogReplica;
import org.lacewingthread.core.log.RecordHeader;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.log.RosterMember;

class PeerCatchUpTest {
    private static final DataCentreId MARAS = new DataCentreId("maras");
    private static final RosterMember FIRST = member("maras-1");
    private static final RosterMember SECOND = member("maras-2");

    private final LogReplica reference = new LogReplica();
    private final LogReplica behind = new LogReplica();

    @Test
    void peerSnapshotRestoresStateWhenOnlyOneRecordIsMissing() {
        LogEntry first = rosterChange(0, List.of(FIRST));
        reference.apply(first);
        behind.apply(first);
        reference.apply(rosterChange(1, List.of(FIRST, SECOND)));
        LogReplica restored = new LogReplica(reference.state());
        PeerMessage.LogRecordsOffered offer = new RecentRecordCache(context(restored)).offerFrom(behind.nextOffset());

        offer(offer.entries());

        assertThat(behind.state()).isEqualTo(reference.state());
    }

    @Test
    void peerRecordsAfterAGapAreNotApplied() {
        LogPoller reading = offer(List.of(rosterChange(0, List.of(FIRST)), rosterChange(2, List.of(SECOND))));

        assertThat(behind.state().appliedOffset()).isEqualTo(new LogOffset(0));
        assertThat(reading.hasGap()).isTrue();
    }

    @Test
    void peerSnapshotBehindOwnStateIsIgnored() {
        behind.apply(rosterChange(0, List.of(FIRST)));
        behind.apply(rosterChange(1, List.of(FIRST, SECOND)));
        ReplicaState before = behind.state();
        LogReplica old = new LogReplica();
        old.apply(rosterChange(0, List.of(FIRST)));
        LogEntry snapshot = new LogEntry(new LogOffset(0), header(9), new LogRecord.SnapshotTaken(old.state()));

        offer(List.of(snapshot));

        assertThat(behind.state()).isSameAs(before);
    }

    private LogPoller offer(List<LogEntry> entries) {
        VmContext context = context(behind);
        LogPoller reading = new LogPoller(context, behind::apply);
        PeerCatchUp catchUp = new PeerCatchUp(context, reading, new RecentRecordCache(context));
        catchUp.applyOffered(Optional.empty(), new PeerMessage.LogRecordsOffered(entries, new LogOffset(9)), false, 0);
        return reading;
    }

    private static VmContext context(LogReplica replica) {
        ControlSettings settings = ControlSettings.DEFAULT;
        return new VmContext(
                new EntryVmIdentity(MARAS, FIRST, new WriterId("w1"), List.of()),
                settings,
                replica,
                new Outbox(FIRST.start()),
                null,
                EnumSet.allOf(ProtocolRule.class));
    }

    private static LogEntry rosterChange(long offset, List<RosterMember> members) {
        LogRecord body = new LogRecord.RosterChanged(MARAS, new LogOffset(offset - 1), members);
        return new LogEntry(new LogOffset(offset), header(offset), body);
    }

    private static RecordHeader header(long sequence) {
        return new RecordHeader(new WriterId("w1"), sequence, "maras-1", 0);
    }

    private static RosterMember member(String vm) {
        return new RosterMember(new VmStart(new VmId(vm), 1), "10.0.0.1", 7000);
    }
}
