package org.lacewingthread.core.lease;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.DataCentreState;
import org.lacewingthread.core.log.LogReplica;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.log.RosterMember;

/** Dependencies and state that all components of one entry VM's state machine share. */
record VmContext(
        EntryVmIdentity identity,
        ControlSettings settings,
        LogReplica replica,
        Outbox outbox,
        LeaseDeadlines leaseDeadlines,
        Set<ProtocolRule> rules) {
    VmStart self() {
        return identity.self();
    }

    ReplicaState state() {
        return replica.state();
    }

    /** Returns the state of this VM's data centre according to the log. */
    DataCentreState dataCentre() {
        return replica.state().dataCentre(identity.dataCentre());
    }

    List<RosterMember> roster() {
        return dataCentre().members();
    }

    Optional<RosterMember> rosterMember(VmStart start) {
        return dataCentre().member(start);
    }

    boolean isMember() {
        return rosterMember(self()).isPresent();
    }
}
