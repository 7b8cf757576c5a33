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

/** Steps of a directed case for the rules of leader leases and rosters. Numbers name the entry VMs. */
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

    /** Starts with a roster that its members all know and have acknowledged. */
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

    void advanceTime(long millis) {
        nowMillis += millis;
    }

    /** Lets VMs read the newest roster from the log. */
    void readRoster(int... numbers) {
        Arrays.stream(numbers).forEach(n -> vm(n).knownRoster = newestRoster);
    }

    /** One VM asks others for their leases, and hears whether they acknowledge the roster. */
    void requestLeases(int asker, int... givers) {
        Vm from = vm(asker);
        if (from.knownRoster.members().isEmpty()) {
            from.knownRoster = newestRoster;
        }
        Term term = new Term(LogOffset.NONE, ++requestCount, from.start);
        long sequence = from.heldLeases.nextSequence(from.now());
        PeerMessage.Heartbeat heartbeat = new PeerMessage.Heartbeat(
                SimulatedGroup.MARAS,
                term,
                from.knownRoster.rosterRevision(),
                sequence,
                -1,
                DispatchLease.NO_VERSION,
                LogOffset.NONE,
                Optional.empty());
        for (int number : givers) {
            Vm giver = vm(number);
            if (giver.grantor.requestLease(from.start, heartbeat, giver.knownRoster, giver.now())) {
                from.heldLeases.recordGrant(giver.start, sequence);
            }
            if (giver.grantor.acknowledgesRoster(giver.knownRoster.rosterRevision(), giver.now())) {
                from.acknowledgements.recordAcknowledgement(giver.start, giver.knownRoster.rosterRevision());
            }
        }
    }

    /** A leader adds a VM to the roster if the rules let it. */
    void addMember(int leader, int newcomer) {
        Vm from = vm(leader);
        boolean acknowledged = !rules.contains(ProtocolRule.MAJORITY_BEFORE_NEXT_CHANGE)
                || from.acknowledgements.hasMajority(from.knownRoster);
        if (leads(leader) && acknowledged) {
            List<RosterMember> members = new ArrayList<>(from.knownRoster.members());
            members.add(member(newcomer));
            newestRoster = roster(members);
            from.knownRoster = newestRoster;
        }
    }

    boolean holds(int holder, int giver) {
        return vm(holder).heldLeases.holds(vm(giver).start, vm(holder).now());
    }

    boolean leads(int number) {
        return vm(number)
                .heldLeases
                .hasMajority(vm(number).knownRoster.members(), vm(number).now());
    }
}
