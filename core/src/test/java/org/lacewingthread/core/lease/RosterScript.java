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
final class RosterScript {
    private final class Vm {
        private final VmStart start;
        private final LeaseGiver giver;
        private final HeldLeases held;
        private final RosterAcknowledgements acknowledgements = new RosterAcknowledgements();
        private DataCentreState known = DataCentreState.EMPTY;
        private double clockRate = 1;

        private Vm(int number) {
            LeaseLengths lengths = new LeaseLengths(ControlSettings.DEFAULT, rules);
            start = new VmStart(new VmId("maras-" + number), 0);
            giver = new LeaseGiver(start, lengths, rules);
            held = new HeldLeases(start, lengths);
        }

        private long now() {
            return (long) (nowMillis * clockRate);
        }
    }

    private final Set<ProtocolRule> rules;
    private final Map<Integer, Vm> vms = new HashMap<>();
    private DataCentreState newest;
    private long nowMillis;
    private long asks;

    /** Starts with a roster that its members all know and have acknowledged. */
    RosterScript(Set<ProtocolRule> rules, int... members) {
        this.rules = rules;
        newest = roster(Arrays.stream(members).mapToObj(this::member).toList());
        learn(members);
    }

    private Vm vm(int number) {
        return vms.computeIfAbsent(number, Vm::new);
    }

    private RosterMember member(int number) {
        return new RosterMember(vm(number).start, "127.0.0.1", 7_000);
    }

    private DataCentreState roster(List<RosterMember> members) {
        LogOffset revision =
                newest == null ? new LogOffset(0) : newest.rosterRevision().next();
        return new DataCentreState(revision, members, LogOffset.NONE, null, null);
    }

    void clockRate(int number, double rate) {
        vm(number).clockRate = rate;
    }

    void pass(long millis) {
        nowMillis += millis;
    }

    /** Lets VMs read the newest roster from the log. */
    void learn(int... numbers) {
        Arrays.stream(numbers).forEach(n -> vm(n).known = newest);
    }

    /** One VM asks others for their leases, and hears whether they acknowledge the roster. */
    void ask(int asker, int... givers) {
        Vm from = vm(asker);
        if (from.known.members().isEmpty()) {
            from.known = newest;
        }
        Term term = new Term(LogOffset.NONE, ++asks, from.start);
        long sequence = from.held.nextSequence(from.now());
        PeerMessage.Heartbeat heartbeat = new PeerMessage.Heartbeat(
                SimulatedGroup.MARAS,
                term,
                from.known.rosterRevision(),
                sequence,
                -1,
                DispatchLease.NO_VERSION,
                LogOffset.NONE,
                Optional.empty());
        for (int number : givers) {
            Vm giver = vm(number);
            if (giver.giver.ask(from.start, heartbeat, giver.known, giver.now())) {
                from.held.granted(giver.start, sequence);
            }
            if (giver.giver.acknowledges(giver.known.rosterRevision(), giver.now())) {
                from.acknowledgements.acknowledged(giver.start, giver.known.rosterRevision());
            }
        }
    }

    /** A leader adds a VM to the roster if the rules let it. */
    void add(int leader, int newcomer) {
        Vm from = vm(leader);
        boolean acknowledged = !rules.contains(ProtocolRule.MAJORITY_BEFORE_NEXT_CHANGE)
                || from.acknowledgements.hasMajority(from.known);
        if (leads(leader) && acknowledged) {
            List<RosterMember> members = new ArrayList<>(from.known.members());
            members.add(member(newcomer));
            newest = roster(members);
            from.known = newest;
        }
    }

    boolean holds(int holder, int giver) {
        return vm(holder).held.holds(vm(giver).start, vm(holder).now());
    }

    boolean leads(int number) {
        return vm(number)
                .held
                .hasMajority(vm(number).known.members(), vm(number).now());
    }
}
