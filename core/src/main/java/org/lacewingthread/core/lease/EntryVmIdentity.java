package org.lacewingthread.core.lease;

import java.util.List;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.RosterMember;

/**
 * Who an entry VM is.
 *
 * @param dataCentre its data centre
 * @param member this process as the roster is to name it
 * @param writer this process as a writer of log records
 * @param seeds entry VMs to ask for records when the log is out at the start; may be empty
 */
public record EntryVmIdentity(DataCentreId dataCentre, RosterMember member, WriterId writer, List<RosterMember> seeds) {
    /** Copies the list. */
    public EntryVmIdentity {
        seeds = List.copyOf(seeds);
    }

    /** Returns the process. */
    public VmStart self() {
        return member.start();
    }
}
