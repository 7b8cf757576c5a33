package org.lacewingthread.core.lease;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lacewingthread.core.control.AuditLine;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.LogReplica;
import org.lacewingthread.core.log.RecordHeader;
import org.lacewingthread.core.log.RosterMember;

/** Process of an entry VM with its own clock, which sends requests whenever its dispatch lease permits them. */
final class SimulatedVm {
    /** A request that was sent and may be waiting or running until the given time. */
    record InFlight(ServerId server, long endMicros) {}

    final String name;
    final EntryVmIdentity identity;
    final EntryVmStateMachine control;
    final Map<ShardId, InFlight> inFlight = new HashMap<>();
    final List<AuditLine> audit = new ArrayList<>();
    boolean stopped;
    ControlView view;
    private final SimulatedGroup group;
    final double clockRate;
    private final long clockOffsetMillis;
    private final Deque<ControlEvent> backlog = new ArrayDeque<>();
    private List<ControlAction> stalledActions = List.of();
    private long pausedUntilMicros;

    SimulatedVm(SimulatedGroup group, String name, long startNumber, double clockRate) {
        this.group = group;
        this.name = name;
        this.clockRate = clockRate;
        this.clockOffsetMillis = group.random.nextInt(1_000_000);
        RosterMember member = new RosterMember(new VmStart(new VmId(name), startNumber), "127.0.0.1", 7_000);
        WriterId writer = new WriterId(name + "-" + startNumber);
        identity = new EntryVmIdentity(SimulatedGroup.MARAS, member, writer, List.of());
        control = new EntryVmStateMachine(
                identity, group.settings, new LogReplica(), t -> group.coordinatorFactory.apply(t), group.rules);
    }

    long localMillis() {
        return clockOffsetMillis + (long) (group.nowMicros() * clockRate / 1_000);
    }

    Optional<Term> leadingTerm() {
        return stopped ? Optional.empty() : control.leadingTerm(localMillis());
    }

    RecordHeader header(long sequence) {
        return new RecordHeader(identity.writer(), sequence, name, 0);
    }

    boolean isPaused() {
        return group.nowMicros() < pausedUntilMicros;
    }

    /** Suspends the process. Events that arrive meanwhile are processed afterwards. */
    void pause(long millis) {
        pausedUntilMicros = group.nowMicros() + millis * 1_000;
        group.schedule(millis * 1_000, this::resume);
    }

    private void resume() {
        if (stopped || isPaused()) {
            return;
        }
        List<ControlAction> delayed = stalledActions;
        stalledActions = List.of();
        delayed.forEach(this::execute);
        while (!backlog.isEmpty() && !isPaused()) {
            handle(backlog.poll());
        }
    }

    void tick() {
        if (!isPaused()) {
            handle(new ControlEvent.Tick());
            sendRequests();
        }
    }

    void deliver(ControlEvent event) {
        if (stopped) {
            return;
        }
        if (isPaused()) {
            backlog.add(event);
        } else {
            handle(event);
        }
    }

    private void handle(ControlEvent event) {
        List<ControlAction> actions = control.handle(event, localMillis());
        if (group.random.nextDouble() < group.stallRatio) {
            stalledActions = actions;
            pause(10 + group.random.nextInt(1_500));
            return;
        }
        actions.forEach(this::execute);
        group.checks.check();
    }

    private void execute(ControlAction action) {
        if (action instanceof ControlAction.SendToPeer send) {
            group.send(this, send.addressee(), send.message());
        } else if (action instanceof ControlAction.ReadLog read) {
            group.readLog(this, read);
        } else if (action instanceof ControlAction.Append append) {
            group.append(this, append);
        } else if (action instanceof ControlAction.SendToServer send) {
            group.servers.sendOrder(this, send);
        } else if (action instanceof ControlAction.Publish publish) {
            group.checks.checkMonotonic(this, view, publish.view());
            view = publish.view();
            sendRequests();
            reportDrained(view.number());
        } else if (action instanceof ControlAction.Audit line) {
            audit.add(line.line());
        }
    }

    /** Returns the plan under which this VM may send requests now, or empty if it may not. */
    Optional<RoutePlan> permittedPlan() {
        boolean holdsLease = !stopped && view != null && localMillis() < view.dispatchDeadlineMillis();
        return holdsLease ? view.plan() : Optional.empty();
    }

    /** Returns whether this VM may send requests to a server now. */
    boolean dispatchesFor(ServerId server) {
        return permittedPlan()
                .filter(p -> identity.self().equals(p.dispatchers().get(server)))
                .isPresent();
    }

    private void sendRequests() {
        permittedPlan().ifPresent(plan -> new TreeMap<>(plan.owners()).forEach((shard, owner) -> {
            if (dispatchesFor(owner.server())) {
                group.checks.checkRequest(this, shard, owner);
                long endMicros =
                        group.nowMicros() + group.random.nextInt((int) (1_000 * group.settings.startByMillis()));
                inFlight.merge(
                        shard,
                        new InFlight(owner.server(), endMicros),
                        (a, b) -> a.endMicros() > b.endMicros() ? a : b);
            }
        }));
    }

    /** Reports a view as drained once no request is in flight that the view's plan does not allow. */
    private void reportDrained(long number) {
        boolean drained = inFlight.entrySet().stream()
                .filter(e -> e.getValue().endMicros() > group.nowMicros())
                .allMatch(e -> isStillAllowed(e.getKey(), e.getValue()));
        if (drained && !isPaused()) {
            deliver(new ControlEvent.ViewDrained(number));
        } else if (!stopped && view.number() == number) {
            group.schedule(5_000, () -> reportDrained(number));
        }
    }

    private boolean isStillAllowed(ShardId shard, InFlight request) {
        return view.plan()
                .filter(p -> identity.self().equals(p.dispatchers().get(request.server())))
                .flatMap(p -> p.ownerOf(shard))
                .filter(o -> o.server().equals(request.server()))
                .isPresent();
    }
}
