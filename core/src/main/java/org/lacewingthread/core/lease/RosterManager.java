package org.lacewingthread.core.lease;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.control.PeerMessage.HeartbeatReply;
import org.lacewingthread.core.control.PeerMessage.MembershipRequested;
import org.lacewingthread.core.control.PeerMessage.ProgressReported;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.DataCentreState;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.log.RosterMember;

/**
 * Keeps the roster consistent with the running VMs. The leader adds or removes one VM per record. If the data
 * centre has no roster, a VM creates one. A roster of which no majority survives is reset.
 */
final class RosterManager {
    private static final long REQUEST_INTERVAL_MILLIS = 250;
    private static final long REQUEST_RETENTION_MILLIS = 2_000;
    private static final long NEVER = Long.MAX_VALUE;
    private static final long NO_APPEND = -1;

    /** Request of a VM to join or leave. A join request expires at the deadline. */
    private record Request(RosterMember member, boolean leaving, long deadlineMillis) {}

    private final VmContext context;
    private final AppendQueue appendQueue;
    private final VmFailureDetector failureDetector;
    private final RosterAcknowledgements acknowledgements = new RosterAcknowledgements();
    private final Map<VmStart, Request> requests = new LinkedHashMap<>();
    private LogOffset firstRosterRevision = LogOffset.NONE;
    private boolean leaving;
    private long nextRequestMillis = Long.MIN_VALUE;
    private long majorityGoneSinceMillis = NEVER;
    private long appendSequence = NO_APPEND;
    private long nextAppendMillis = Long.MIN_VALUE;

    RosterManager(VmContext context, AppendQueue appendQueue, VmFailureDetector failureDetector) {
        this.context = context;
        this.appendQueue = appendQueue;
        this.failureDetector = failureDetector;
    }

    /** Starts the removal of this VM from the roster. */
    void startLeaving() {
        leaving = true;
        nextRequestMillis = Long.MIN_VALUE;
    }

    /** Returns whether this VM is leaving and hands over its work. */
    boolean isLeaving() {
        return leaving || isLeaving(context.self());
    }

    /** Records the first roster of the data centre if this process created it with the applied entry. */
    void recordApplied(LogEntry entry, boolean accepted) {
        boolean isInitialRoster = accepted
                && entry.body() instanceof LogRecord.RosterChanged change
                && change.dataCentre().equals(context.identity().dataCentre())
                && change.baseRevision().equals(LogOffset.NONE);
        if (isInitialRoster && entry.header().writer().equals(context.identity().writer())) {
            firstRosterRevision = entry.offset();
        }
    }

    /** Returns whether the roster is still the data centre's first, created by this process as its only member. */
    boolean isFirstRoster() {
        return !firstRosterRevision.equals(LogOffset.NONE)
                && firstRosterRevision.equals(context.dataCentre().rosterRevision());
    }

    /** Records the roster acknowledgement in a heartbeat reply, if it has one. */
    void recordReply(VmStart member, HeartbeatReply reply) {
        if (reply.acknowledgedRoster()) {
            acknowledgements.recordAcknowledgement(member, reply.rosterRevision());
        }
    }

    /** Records another VM's request to join or leave. */
    void recordRequest(MembershipRequested request, long nowMillis) {
        VmStart vm = request.member().start();
        requests.put(vm, new Request(request.member(), request.leaving(), nowMillis + REQUEST_RETENTION_MILLIS));
    }

    /**
     * Requests to join or leave. Also reports progress, from which the addressee derives which roster this process
     * has applied while it was alive.
     */
    private void sendRequest(RosterMember addressee) {
        EntryVmIdentity identity = context.identity();
        ReplicaState state = context.state();
        context.outbox().send(addressee, new MembershipRequested(identity.dataCentre(), identity.member(), leaving));
        context.outbox()
                .send(
                        addressee,
                        new ProgressReported(
                                identity.dataCentre(), state.appliedOffset(), state.configurationRevision()));
    }

    /** Returns the roster members that are leaving and must not be assigned any work. */
    Set<VmStart> leavingVms() {
        Set<VmStart> vms = new HashSet<>();
        for (RosterMember member : context.roster()) {
            if (isLeaving(member.start())) {
                vms.add(member.start());
            }
        }
        return vms;
    }

    private boolean isLeaving(VmStart vm) {
        Request request = requests.get(vm);
        boolean requestedLeave = request != null && request.leaving();
        boolean isSelf = vm.equals(context.self());
        return requestedLeave
                || (isSelf && leaving)
                || failureDetector.isListedLeaving(vm.vm())
                || context.state().drainingVms().contains(vm.vm());
    }

    /** Sends pending requests and appends the next roster change, if one is due. */
    void advance(Optional<LeaderTermState> leaderTerm, boolean reachedLogEnd, boolean logReachable, long nowMillis) {
        requests.values().removeIf(r -> !r.leaving() && nowMillis >= r.deadlineMillis());
        sendRequests(nowMillis);
        if (!logReachable || !reachedLogEnd || appendQueue.isPending(appendSequence) || nowMillis < nextAppendMillis) {
            return;
        }
        DataCentreState dataCentre = context.dataCentre();
        if (dataCentre.members().isEmpty()) {
            bootstrap(dataCentre, nowMillis);
        } else if (leaderTerm.isPresent()) {
            addOrRemoveOne(dataCentre, leaderTerm.get(), nowMillis);
        } else {
            resetIfMajorityGone(dataCentre, nowMillis);
        }
    }

    /** Sends requests to the roster. Joining VMs also send them to each other to detect members that were replaced. */
    private void sendRequests(long nowMillis) {
        boolean wantsToJoin = !context.isMember() && !isLeaving();
        boolean wantsToLeave = context.isMember() && leaving;
        if (nowMillis < nextRequestMillis || !(wantsToJoin || wantsToLeave)) {
            return;
        }
        nextRequestMillis = nowMillis + REQUEST_INTERVAL_MILLIS;
        context.roster().forEach(this::sendRequest);
        if (wantsToJoin) {
            requests.values().stream()
                    .map(Request::member)
                    .filter(m -> context.rosterMember(m.start()).isEmpty())
                    .forEach(this::sendRequest);
        }
    }

    private void bootstrap(DataCentreState dataCentre, long nowMillis) {
        if (!isLeaving()) {
            appendChange(dataCentre, List.of(context.identity().member()), Optional.empty(), nowMillis);
        }
    }

    private void addOrRemoveOne(DataCentreState dataCentre, LeaderTermState leader, long nowMillis) {
        boolean mayChange = !context.rules().contains(ProtocolRule.MAJORITY_BEFORE_NEXT_CHANGE)
                || acknowledgements.hasMajority(dataCentre);
        if (!mayChange) {
            return;
        }
        Optional<RosterMember> departing = dataCentre.members().stream()
                .filter(m -> dataCentre.members().size() > 1)
                .filter(m -> shouldRemove(m.start(), leader, nowMillis))
                .findFirst();
        if (departing.isPresent()) {
            List<RosterMember> members = new ArrayList<>(dataCentre.members());
            members.remove(departing.get());
            appendChange(dataCentre, members, Optional.of(leader.term()), nowMillis);
            return;
        }
        Optional<RosterMember> joining = requests.values().stream()
                .filter(r -> !isLeaving(r.member().start()))
                .map(Request::member)
                .filter(m -> hasNoMemberOn(dataCentre, m.start().vm()))
                .findFirst();
        if (joining.isPresent()) {
            List<RosterMember> members = new ArrayList<>(dataCentre.members());
            members.add(joining.get());
            appendChange(dataCentre, members, Optional.of(leader.term()), nowMillis);
        }
    }

    /**
     * Returns whether no process of the VM is in the roster. A restarted process joins only after its predecessor was
     * removed, so that the roster does not grow in between.
     */
    private static boolean hasNoMemberOn(DataCentreState dataCentre, VmId vm) {
        return dataCentre.members().stream().noneMatch(m -> m.start().vm().equals(vm));
    }

    private boolean shouldRemove(VmStart vm, LeaderTermState leader, long nowMillis) {
        if (failureDetector.isReplaced(vm)) {
            return true;
        }
        if (!leader.ledger().isLive(vm, nowMillis)) {
            return failureDetector.isGone(vm, nowMillis);
        }
        return isLeaving(vm) && leader.hasHandedOver(vm, nowMillis);
    }

    private void resetIfMajorityGone(DataCentreState dataCentre, long nowMillis) {
        List<RosterMember> survivors = dataCentre.members().stream()
                .filter(m -> !failureDetector.isGone(m.start(), nowMillis))
                .toList();
        boolean mayReset = 2 * survivors.size() <= dataCentre.members().size()
                && (survivors.isEmpty() || dataCentre.member(context.self()).isPresent())
                && !isLeaving();
        if (!mayReset) {
            majorityGoneSinceMillis = NEVER;
            return;
        }
        majorityGoneSinceMillis = Math.min(majorityGoneSinceMillis, nowMillis);
        if (context.leaseDeadlines().grantorLeaderDeadline(majorityGoneSinceMillis) > nowMillis) {
            return;
        }
        List<RosterMember> members =
                survivors.isEmpty() ? List.of(context.identity().member()) : survivors;
        appendSequence = appendQueue.add(new LogRecord.RosterReset(
                context.identity().dataCentre(),
                dataCentre.rosterRevision(),
                members,
                "platform lists no majority of the roster"));
        majorityGoneSinceMillis = NEVER;
        delayNextAppend(nowMillis);
    }

    private void appendChange(DataCentreState base, List<RosterMember> members, Optional<Term> term, long nowMillis) {
        LogRecord record = new LogRecord.RosterChanged(context.identity().dataCentre(), base.rosterRevision(), members);
        appendSequence = appendQueue.add(record, term);
        delayNextAppend(nowMillis);
    }

    /** Delays the next append, by a different time for each process to avoid collisions. */
    private void delayNextAppend(long nowMillis) {
        long spreadMillis = context.self().startNumber() % REQUEST_INTERVAL_MILLIS;
        nextAppendMillis = nowMillis + context.settings().heartbeatMillis() + spreadMillis;
    }
}
