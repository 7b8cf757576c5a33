package org.lacewingthread.core.lease;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.EntryVmControl;
import org.lacewingthread.core.control.PeerMessage;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.ApplyResult;
import org.lacewingthread.core.log.AuditTrail;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogReplica;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.ownership.OwnershipCoordinator;

/**
 * Control of one entry VM: membership, leadership, leases, and reading and appending the log.
 *
 * <p>Feed it every event with the VM's monotonic time and carry out the actions it returns, in order:
 *
 * <pre>{@code
 * EntryVmControl control =
 *         new EntryVmStateMachine(identity, ControlSettings.DEFAULT, new LogReplica(), coordinators);
 * for (ControlAction action : control.handle(new ControlEvent.Tick(), nowMillis)) {
 *     shell.carryOut(action);
 * }
 * }</pre>
 *
 * <p>Every lease is kept as a deadline and checked before an event is looked at, so that a process that was
 * paused acts on nothing that it decided before the pause.
 */
public final class EntryVmStateMachine implements EntryVmControl {
    private final VmContext context;
    private final AppendQueue appends;
    private final LogReading log;
    private final RecentRecords recent;
    private final CatchUp catchUp;
    private final AddressBook addresses;
    private final HeldLeases held;
    private final DispatchLease dispatch;
    private final HeartbeatReplier replier;
    private final LeaderElection election;
    private final Heartbeats heartbeats;
    private final LeaderDuties duties;
    private final VmWatch watch;
    private final RosterKeeper roster;
    private final SnapshotAppender snapshots;
    private final ViewPublisher views;
    private boolean current;
    private long lastHandledMillis = Long.MIN_VALUE;

    /**
     * Creates the control of a process that has just started.
     *
     * @param identity who it is
     * @param settings lengths of leases
     * @param replica folds the log
     * @param coordinators makes the ownership coordinator of each term in which this VM leads
     */
    public EntryVmStateMachine(
            EntryVmIdentity identity,
            ControlSettings settings,
            LogReplica replica,
            Function<Term, OwnershipCoordinator> coordinators) {
        this(identity, settings, replica, coordinators, EnumSet.allOf(ProtocolRule.class));
    }

    EntryVmStateMachine(
            EntryVmIdentity identity,
            ControlSettings settings,
            LogReplica replica,
            Function<Term, OwnershipCoordinator> coordinators,
            Set<ProtocolRule> rules) {
        LeaseLengths lengths = new LeaseLengths(settings, rules);
        context = new VmContext(identity, settings, replica, new Outbox(identity.self()), lengths, rules);
        appends = new AppendQueue(identity.writer(), context.outbox());
        log = new LogReading(context, this::apply);
        recent = new RecentRecords(context);
        catchUp = new CatchUp(context, log, recent);
        addresses = new AddressBook(context);
        held = new HeldLeases(identity.self(), lengths);
        dispatch = new DispatchLease(lengths);
        LeaseGiver giver = new LeaseGiver(identity.self(), lengths, rules);
        replier = new HeartbeatReplier(context, giver, dispatch);
        election = new LeaderElection(context, giver, held, appends);
        heartbeats = new Heartbeats(context, held);
        duties = new LeaderDuties(context, held, appends, heartbeats, coordinators);
        watch = new VmWatch(settings, identity.self());
        roster = new RosterKeeper(context, appends, watch);
        snapshots = new SnapshotAppender(context, appends, log);
        views = new ViewPublisher(context, dispatch);
    }

    @Override
    public List<ControlAction> handle(ControlEvent event, long nowMillis) {
        if (nowMillis < lastHandledMillis) {
            throw new IllegalArgumentException(
                    "time " + nowMillis + " is before " + lastHandledMillis + "; give a monotonic time");
        }
        lastHandledMillis = nowMillis;
        election.checkDeadlines(nowMillis);
        duties.follow(election.leadingTerm(), replier.conditions(), roster.isFirstRoster(), nowMillis);
        take(event, nowMillis);
        advance(nowMillis);
        for (PeerMessage own = context.outbox().pollToSelf();
                own != null;
                own = context.outbox().pollToSelf()) {
            takeMessage(context.self(), own, nowMillis);
            advance(nowMillis);
        }
        views.publishIfChanged(current, roster.isLeaving());
        return context.outbox().drain();
    }

    /** Returns the term in which this VM may act as the leader at a time, if it does. */
    Optional<Term> leadingTerm(long nowMillis) {
        return election.leadingTerm().filter(t -> held.hasMajority(context.roster(), nowMillis));
    }

    /** Moves every part on, from what is known to what is decided. */
    private void advance(long nowMillis) {
        current |= catchUp.isCurrent();
        boolean logReachable = log.isReachable(nowMillis);
        election.advance(current, log.isPrompt(nowMillis), nowMillis);
        duties.follow(election.leadingTerm(), replier.conditions(), roster.isFirstRoster(), nowMillis);
        roster.advance(duties.leading(), log.reachedEnd(), logReachable, nowMillis);
        duties.advance(roster.leavingVms(), logReachable, nowMillis);
        snapshots.observe(nowMillis);
        duties.leading().ifPresent(l -> snapshots.advance(l, logReachable, nowMillis));
        boolean hasMajority = held.hasMajority(context.roster(), nowMillis);
        election.askingTerm().ifPresent(t -> heartbeats.sendDue(t, duties.leading(), hasMajority, nowMillis));
        catchUp.advance(duties.leading().isPresent(), logReachable, nowMillis);
        appends.advance(nowMillis);
        log.advance(!appends.isEmpty(), nowMillis);
    }

    private void apply(LogEntry entry) {
        ReplicaState before = context.state();
        ApplyResult result = context.replica().apply(entry);
        recent.add(entry);
        appends.readBack(entry);
        roster.applied(entry, result.isAccepted());
        if (result.outcome() != ApplyResult.Outcome.DUPLICATE) {
            AuditTrail.describe(before, entry, result)
                    .ifPresent(line -> context.outbox().add(new ControlAction.Audit(line)));
        }
    }

    private void take(ControlEvent event, long nowMillis) {
        if (event instanceof ControlEvent.LogRead read) {
            log.read(read, nowMillis);
        } else if (event instanceof ControlEvent.LogUnavailable) {
            log.unavailable(nowMillis);
        } else if (event instanceof ControlEvent.AppendRefused refused) {
            appends.refused(refused.sequence(), nowMillis);
        } else if (event instanceof ControlEvent.VmListRead list) {
            watch.listRead(list, nowMillis);
        } else if (event instanceof ControlEvent.PeerMessageReceived received) {
            takeMessage(received.sender(), received.message(), nowMillis);
        } else if (event instanceof ControlEvent.LeaveRequested) {
            roster.leave();
        } else {
            takeTraffic(event, nowMillis);
        }
    }

    private void takeTraffic(ControlEvent event, long nowMillis) {
        if (event instanceof ControlEvent.ServerOrderAnswered answer) {
            duties.orderAnswered(answer.server(), answer.sequence(), answer.accepted(), nowMillis);
        } else if (event instanceof ControlEvent.ServerOrderFailed failure) {
            duties.orderFailed(failure.server(), failure.sequence(), nowMillis);
        } else if (event instanceof ControlEvent.ServerObserved observed) {
            replier.observed(observed.server(), observed.condition(), nowMillis);
        } else if (event instanceof ControlEvent.ViewDrained drained) {
            if (dispatch.drained(drained.viewNumber())) {
                replier.reportRelease(nowMillis);
            }
        } else if (event instanceof ControlEvent.LoadMeasured measured) {
            replier.measured(measured.load());
        }
    }

    private void takeMessage(VmStart sender, PeerMessage message, long nowMillis) {
        watch.heard(sender, nowMillis);
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            takeHeartbeat(sender, heartbeat, nowMillis);
        } else if (message instanceof PeerMessage.HeartbeatReply reply) {
            takeReply(sender, reply, nowMillis);
        } else if (message instanceof PeerMessage.MembershipRequested request) {
            addresses.introduced(request.member());
            if (request.dataCentre().equals(context.identity().dataCentre())) {
                roster.requested(request, nowMillis);
            }
        } else if (message instanceof PeerMessage.ServersObserved observed) {
            duties.observed(observed.conditions());
        } else if (message instanceof PeerMessage.LogRecordsWanted wanted) {
            addresses.find(sender).ifPresent(m -> catchUp.wanted(m, wanted.from()));
        } else if (message instanceof PeerMessage.LogRecordsOffered offer) {
            catchUp.offered(addresses.find(sender), offer, log.isReachable(nowMillis), nowMillis);
        } else if (message instanceof PeerMessage.ProgressReported progress) {
            noteProgress(sender, progress.appliedOffset(), nowMillis);
        }
    }

    private void takeHeartbeat(VmStart sender, PeerMessage.Heartbeat heartbeat, long nowMillis) {
        if (!heartbeat.dataCentre().equals(context.identity().dataCentre())) {
            return;
        }
        election.yieldTo(sender, heartbeat);
        replier.heartbeat(sender, heartbeat, nowMillis);
        noteProgress(sender, heartbeat.logEndOffset(), nowMillis);
    }

    private void takeReply(VmStart sender, PeerMessage.HeartbeatReply reply, long nowMillis) {
        if (reply.granted()) {
            held.granted(sender, reply.sequence());
        }
        election.answered(sender, reply.granted(), reply.highestTerm(), nowMillis);
        roster.replied(sender, reply);
        duties.replied(sender, reply, nowMillis);
        noteProgress(sender, reply.appliedOffset(), nowMillis);
    }

    private void noteProgress(VmStart sender, LogOffset appliedOffset, long nowMillis) {
        if (!sender.equals(context.self())) {
            watch.alive(sender, appliedOffset, context.dataCentre());
            boolean logReachable = log.isReachable(nowMillis);
            addresses.find(sender).ifPresent(m -> catchUp.heard(m, appliedOffset, logReachable, nowMillis));
        }
    }
}
