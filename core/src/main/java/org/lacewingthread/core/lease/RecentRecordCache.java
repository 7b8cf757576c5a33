package org.lacewingthread.core.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.lacewingthread.core.control.PeerMessage;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RecordHeader;

/** Caches the newest records for entry VMs that cannot read the log. */
final class RecentRecordCache {
    private static final int MAX_RECORDS = 1_024;
    private static final int MAX_OFFERED_RECORDS = 128;

    private final VmContext context;
    private final TreeMap<LogOffset, LogEntry> entries = new TreeMap<>();

    RecentRecordCache(VmContext context) {
        this.context = context;
    }

    void add(LogEntry entry) {
        entries.put(entry.offset(), entry);
        if (entries.size() > MAX_RECORDS) {
            entries.pollFirstEntry();
        }
    }

    /** Returns the cached records from an offset on, or a snapshot if the record at the offset is no longer cached. */
    PeerMessage.LogRecordsOffered offerFrom(LogOffset from) {
        LogOffset end = context.state().appliedOffset();
        List<LogEntry> offered = new ArrayList<>();
        LogOffset next = from;
        while (entries.containsKey(next) && offered.size() < MAX_OFFERED_RECORDS) {
            offered.add(entries.get(next));
            next = next.next();
        }
        if (offered.isEmpty() && !from.isAfter(end)) {
            offered.add(snapshot(end));
        }
        return new PeerMessage.LogRecordsOffered(offered, end);
    }

    private LogEntry snapshot(LogOffset end) {
        RecordHeader header = new RecordHeader(
                context.identity().writer(), 0, context.self().vm().value(), 0);
        return new LogEntry(end, header, new LogRecord.SnapshotTaken(context.state()));
    }
}
