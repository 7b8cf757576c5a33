package org.lacewingthread.core.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.PeerMessage;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.DataCentreState;
import org.lacewingthread.core.log.RosterMember;

/** Deterministic scenario for the rules of leader leases and rosters. Entry VMs are identified by numbers. */
final class LeaderLeaseScenario {
    private final class Vm {
        private final VmStart start;
        private final LeaderLeaseGrantor grantor;
        private final HeldLeaderLeases heldLeases;
        private final RosterAcknowledgements acknowledgements = new RosterAcknowledgements();
        private DataCentreState knownRoster = DataCentreState.EMPTY;
        private double clockRate = 1;

        private Vm(int number) {
            LeaseDeadlines lengths = new LeaseDeadlines(ControlSettings.DEFAULT, rules);
            start = new VmStart(new VmId("maras-" + number), 0);
            grantor = new LeaderLeaseGrantor(start, lengths, rules);
            heldLeases = new HeldLeaderLeases(start, lengths);
        }

        private long now() {
            return (long) (nowMillis * clockRate);
        }
    }

    private final Set<ProtocolRule> rules;
    private final Map<Integer, Vm> vms = new HashMap<>();
    private DataCentreState newestRoster;
    private long nowMillis;
    private long requestCount;

    /** Starts with a roster that all its members have read. */
    LeaderLeaseScenario(Set<ProtocolRule> rules, int... members) {
        this.rules = rules;
        newestRoster = roster(Arrays.stream(members).mapToObj(this::member).toList());
        readRoster(members);
    }

    private Vm vm(int number) {
        return vms.computeIfAbsent(number, Vm::new);
    }

    private RosterMember member(int number) {
        return new RosterMember(vm(number).start, "127.0.0.1", 7_000);
    }

    private DataCentreState roster(List<RosterMember> members) {
        LogOffset revision = newestRoster == null
                ? new LogOffset(0)
                : newestRoster.rosterRevision().next();
        return new DataCentreState(revision, members, LogOffset.NONE, null, null);
    }

    void setClockRate(int number, double rate) {
        vm(number).clockRate = rate;
    }

    /** Advances the time of all VMs. */
    void advanceTime(long millis) {
        nowMillis += millis;
    }

    /** Makes the VMs read the newest roster from the log. */
    void readRoster(int... numbers) {
        Arrays.stream(numbers).forEach(n -> vm(n).knownRoster = newestRoster);
    }

    /** Makes a VM request the leases of others and receive their roster acknowledgements. */
    void requestLeases(int requester, int... grantors) {
        Vm requesterVm = vm(requester);
        if (requesterVm.knownRoster.members().isEmpty()) {
            requesterVm.knownRoster = newestRoster;
        }
        Term term = new Term(LogOffset.NONE, ++requestCount, requesterVm.start);
        long sequence = requesterVm.heldLeases.nextSequence(requesterVm.now());
        PeerMessage.Heartbeat heartbeat = new PeerMessage.Heartbeat(
                SimulatedGroup.MARAS,
                term,
                requesterVm.knownRoster.rosterRevision(),
                sequence,
                -1,
                DispatchLease.NO_VERSION,
                LogOffset.NONE,
                Optional.empty());
        for (int number : grantors) {
            Vm grantorVm = vm(number);
            if (grantorVm.grantor.requestLease(requesterVm.start, heartbeat, grantorVm.knownRoster, grantorVm.now())) {
                requesterVm.heldLeases.recordGrant(grantorVm.start, sequence);
            }
            if (grantorVm.grantor.acknowledgesRoster(grantorVm.knownRoster.rosterRevision(), grantorVm.now())) {
                requesterVm.acknowledgements.recordAcknowledgement(
                        grantorVm.start, grantorVm.knownRoster.rosterRevision());
            }
        }
    }

    /** Makes a leader add a VM to the roster if the rules allow it. */
    void addMember(int leader, int newcomer) {
        Vm leaderVm = vm(leader);
        boolean acknowledged = !rules.contains(ProtocolRule.MAJORITY_BEFORE_NEXT_CHANGE)
                || leaderVm.acknowledgements.hasMajority(leaderVm.knownRoster);
        if (leads(leader) && acknowledged) {
            List<RosterMember> members = new ArrayList<>(leaderVm.knownRoster.members());
            members.add(member(newcomer));
            newestRoster = roster(members);
            leaderVm.knownRoster = newestRoster;
        }
    }

    /** Returns whether the holder relies on the lease of the grantor. */
    boolean holds(int holder, int grantor) {
        return vm(holder).heldLeases.holds(vm(grantor).start, vm(holder).now());
    }

    /** Returns whether a VM holds the leases of a majority of the roster that it knows. */
    boolean leads(int number) {
        return vm(number)
                .heldLeases
                .hasMajority(vm(number).knownRoster.members(), vm(number).now());
    }
}
