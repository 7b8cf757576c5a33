package org.lacewingthread.core.lease;

import java.util.List;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.RosterMember;

/**
 * Identity of an entry VM process.
 *
 * @param dataCentre data centre of the VM
 * @param member roster entry of this process
 * @param writer writer id under which this process appends log records
 * @param seeds entry VMs from which records are requested if the log is unavailable at startup; may be empty
 */
public record EntryVmIdentity(DataCentreId dataCentre, RosterMember member, WriterId writer, List<RosterMember> seeds) {
    /** Makes a defensive copy of the seeds. */
    public EntryVmIdentity {
        seeds = List.copyOf(seeds);
    }

    /** Returns the id of this process. */
    public VmStart self() {
        return member.start();
    }
}
