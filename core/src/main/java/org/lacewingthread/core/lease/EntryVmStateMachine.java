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
 * State machine that controls one entry VM: roster membership, leader election, leases, and log reads and appends.
 *
 * <p>Pass every event with the VM's monotonic time to {@link #handle} and execute the returned actions in order:
 *
 * <pre>{@code
 * EntryVmControl control =
 *         new EntryVmStateMachine(identity, ControlSettings.DEFAULT, new LogReplica(), coordinatorFactory);
 * for (ControlAction action : control.handle(new ControlEvent.Tick(), nowMillis)) {
 *     executor.execute(action);
 * }
 * }</pre>
 *
 * <p>Every lease is stored as a deadline, and the deadlines are checked before an event is processed. A process
 * that was paused therefore does not act on decisions that it made before the pause.
 */
public final class EntryVmStateMachine implements EntryVmControl {
    private final VmContext context;
    private final AppendQueue appendQueue;
    private final LogPoller logPoller;
    private final RecentRecordCache recentRecords;
    private final PeerCatchUp peerCatchUp;
    private final AddressBook addressBook;
    private final HeldLeaderLeases heldLeases;
    private final DispatchLease dispatchLease;
    private final HeartbeatResponder heartbeatResponder;
    private final LeaderElection election;
    private final HeartbeatSender heartbeatSender;
    private final CoordinatorRunner coordinatorRunner;
    private final VmFailureDetector failureDetector;
    private final RosterManager rosterManager;
    private final SnapshotAppender snapshotAppender;
    private final ViewPublisher viewPublisher;
    private boolean caughtUp;
    private long lastHandledMillis = Long.MIN_VALUE;

    /**
     * Creates the state machine of a process that has just started.
     *
     * @param identity identity of this process
     * @param settings lease durations and other timing settings
     * @param replica replica to which log records are applied
     * @param coordinatorFactory creates the ownership coordinator for each term in which this VM leads
     */
    public EntryVmStateMachine(
            EntryVmIdentity identity,
            ControlSettings settings,
            LogReplica replica,
            Function<Term, OwnershipCoordinator> coordinatorFactory) {
        this(identity, settings, replica, coordinatorFactory, EnumSet.allOf(ProtocolRule.class));
    }

    EntryVmStateMachine(
            EntryVmIdentity identity,
            ControlSettings settings,
            LogReplica replica,
            Function<Term, OwnershipCoordinator> coordinatorFactory,
            Set<ProtocolRule> rules) {
        LeaseDeadlines leaseDeadlines = new LeaseDeadlines(settings, rules);
        context = new VmContext(identity, settings, replica, new Outbox(identity.self()), leaseDeadlines, rules);
        appendQueue = new AppendQueue(identity.writer(), context.outbox());
        logPoller = new LogPoller(context, this::apply);
        recentRecords = new RecentRecordCache(context);
        peerCatchUp = new PeerCatchUp(context, logPoller, recentRecords);
        addressBook = new AddressBook(context);
        heldLeases = new HeldLeaderLeases(identity.self(), leaseDeadlines);
        dispatchLease = new DispatchLease(leaseDeadlines);
        LeaderLeaseGrantor grantor = new LeaderLeaseGrantor(identity.self(), leaseDeadlines, rules);
        heartbeatResponder = new HeartbeatResponder(context, grantor, dispatchLease);
        election = new LeaderElection(context, grantor, heldLeases, appendQueue);
        heartbeatSender = new HeartbeatSender(context, heldLeases);
        coordinatorRunner =
                new CoordinatorRunner(context, heldLeases, appendQueue, heartbeatSender, coordinatorFactory);
        failureDetector = new VmFailureDetector(settings, identity.self());
        rosterManager = new RosterManager(context, appendQueue, failureDetector);
        snapshotAppender = new SnapshotAppender(context, appendQueue, logPoller);
        viewPublisher = new ViewPublisher(context, dispatchLease);
    }

    @Override
    public List<ControlAction> handle(ControlEvent event, long nowMillis) {
        if (nowMillis < lastHandledMillis) {
            throw new IllegalArgumentException(
                    "time " + nowMillis + " is before " + lastHandledMillis + "; event times must not decrease");
        }
        lastHandledMillis = nowMillis;
        election.checkDeadlines(nowMillis);
        coordinatorRunner.updateTerm(
                election.leadingTerm(), heartbeatResponder.conditions(), rosterManager.isFirstRoster(), nowMillis);
        handleEvent(event, nowMillis);
        advance(nowMillis);
        for (PeerMessage toSelf = context.outbox().pollToSelf();
                toSelf != null;
                toSelf = context.outbox().pollToSelf()) {
            handleMessage(context.self(), toSelf, nowMillis);
            advance(nowMillis);
        }
        viewPublisher.publishIfChanged(caughtUp, rosterManager.isLeaving());
        return context.outbox().drain();
    }

    /** Returns the term in which this VM may act as the leader at the given time, or empty if it may not. */
    Optional<Term> leadingTerm(long nowMillis) {
        return election.leadingTerm().filter(t -> heldLeases.hasMajority(context.roster(), nowMillis));
    }

    /** Advances all components. The order matters: components that decide run after those that supply their input. */
    private void advance(long nowMillis) {
        caughtUp |= peerCatchUp.isCaughtUp();
        boolean logReachable = logPoller.isReachable(nowMillis);
        election.advance(caughtUp, logPoller.isResponsive(nowMillis), nowMillis);
        coordinatorRunner.updateTerm(
                election.leadingTerm(), heartbeatResponder.conditions(), rosterManager.isFirstRoster(), nowMillis);
        rosterManager.advance(coordinatorRunner.leaderTerm(), logPoller.reachedEnd(), logReachable, nowMillis);
        coordinatorRunner.advance(rosterManager.leavingVms(), logReachable, nowMillis);
        snapshotAppender.observe(nowMillis);
        coordinatorRunner.leaderTerm().ifPresent(l -> snapshotAppender.advance(l, logReachable, nowMillis));
        boolean hasMajority = heldLeases.hasMajority(context.roster(), nowMillis);
        election.heartbeatTerm()
                .ifPresent(t -> heartbeatSender.sendIfDue(t, coordinatorRunner.leaderTerm(), hasMajority, nowMillis));
        peerCatchUp.advance(coordinatorRunner.leaderTerm().isPresent(), logReachable, nowMillis);
        appendQueue.advance(nowMillis);
        logPoller.advance(!appendQueue.isEmpty(), nowMillis);
    }

    private void apply(LogEntry entry) {
        ReplicaState before = context.state();
        ApplyResult result = context.replica().apply(entry);
        recentRecords.add(entry);
        appendQueue.confirmReadBack(entry);
        rosterManager.recordApplied(entry, result.isAccepted());
        if (result.outcome() != ApplyResult.Outcome.DUPLICATE) {
            AuditTrail.describe(before, entry, result)
                    .ifPresent(line -> context.outbox().add(new ControlAction.Audit(line)));
        }
    }

    private void handleEvent(ControlEvent event, long nowMillis) {
        if (event instanceof ControlEvent.LogRead read) {
            logPoller.handleRead(read, nowMillis);
        } else if (event instanceof ControlEvent.LogUnavailable) {
            logPoller.handleUnavailable(nowMillis);
        } else if (event instanceof ControlEvent.AppendRefused refused) {
            appendQueue.handleRefusal(refused.sequence(), nowMillis);
        } else if (event instanceof ControlEvent.VmListRead list) {
            failureDetector.recordVmList(list, nowMillis);
        } else if (event instanceof ControlEvent.PeerMessageReceived received) {
            handleMessage(received.sender(), received.message(), nowMillis);
        } else if (event instanceof ControlEvent.LeaveRequested) {
            rosterManager.startLeaving();
        } else {
            handleServerEvent(event, nowMillis);
        }
    }

    private void handleServerEvent(ControlEvent event, long nowMillis) {
        if (event instanceof ControlEvent.ServerOrderAnswered answer) {
            coordinatorRunner.orderAnswered(answer.server(), answer.sequence(), answer.accepted(), nowMillis);
        } else if (event instanceof ControlEvent.ServerOrderFailed failure) {
            coordinatorRunner.orderFailed(failure.server(), failure.sequence(), nowMillis);
        } else if (event instanceof ControlEvent.ServerObserved observed) {
            heartbeatResponder.recordCondition(observed.server(), observed.condition(), nowMillis);
        } else if (event instanceof ControlEvent.ViewDrained drained) {
            if (dispatchLease.recordDrainedView(drained.viewNumber())) {
                heartbeatResponder.reportRelease(nowMillis);
            }
        } else if (event instanceof ControlEvent.LoadMeasured measured) {
            heartbeatResponder.recordLoad(measured.load());
        }
    }

    private void handleMessage(VmStart sender, PeerMessage message, long nowMillis) {
        failureDetector.recordMessage(sender, nowMillis);
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            handleHeartbeat(sender, heartbeat, nowMillis);
        } else if (message instanceof PeerMessage.HeartbeatReply reply) {
            handleReply(sender, reply, nowMillis);
        } else if (message instanceof PeerMessage.MembershipRequested request) {
            addressBook.addNewcomer(request.member());
            if (request.dataCentre().equals(context.identity().dataCentre())) {
                rosterManager.recordRequest(request, nowMillis);
            }
        } else if (message instanceof PeerMessage.ServersObserved observed) {
            coordinatorRunner.recordConditions(observed.conditions());
        } else if (message instanceof PeerMessage.LogRecordsWanted wanted) {
            addressBook.find(sender).ifPresent(m -> peerCatchUp.sendRecords(m, wanted.from()));
        } else if (message instanceof PeerMessage.LogRecordsOffered offer) {
            peerCatchUp.applyOffered(addressBook.find(sender), offer, logPoller.isReachable(nowMillis), nowMillis);
        } else if (message instanceof PeerMessage.ProgressReported progress) {
            recordProgress(sender, progress.appliedOffset(), nowMillis);
        }
    }

    private void handleHeartbeat(VmStart sender, PeerMessage.Heartbeat heartbeat, long nowMillis) {
        if (!heartbeat.dataCentre().equals(context.identity().dataCentre())) {
            return;
        }
        election.yieldToHigherTerm(sender, heartbeat);
        heartbeatResponder.handleHeartbeat(sender, heartbeat, nowMillis);
        recordProgress(sender, heartbeat.logEndOffset(), nowMillis);
    }

    private void handleReply(VmStart sender, PeerMessage.HeartbeatReply reply, long nowMillis) {
        if (reply.granted()) {
            heldLeases.recordGrant(sender, reply.sequence());
        }
        election.recordReply(sender, reply.granted(), reply.highestTerm(), nowMillis);
        rosterManager.recordReply(sender, reply);
        coordinatorRunner.recordReply(sender, reply, nowMillis);
        recordProgress(sender, reply.appliedOffset(), nowMillis);
    }

    private void recordProgress(VmStart sender, LogOffset appliedOffset, long nowMillis) {
        if (!sender.equals(context.self())) {
            failureDetector.recordProgress(sender, appliedOffset, context.dataCentre());
            boolean logReachable = logPoller.isReachable(nowMillis);
            addressBook
                    .find(sender)
                    .ifPresent(m -> peerCatchUp.recordPeerProgress(m, appliedOffset, logReachable, nowMillis));
        }
    }
}
