package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.List;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;

/** An entry VM that may stand still for a while; answers that arrive meanwhile wait until it goes on. */
final class SimulatedVm {
    final String name;
    RangeCoordinator coordinator;
    FirstUse firstUse;
    /** Time from the request until the answer of each read of the table; the answer tells the state at the request. */
    long readDelayMillis;

    boolean readPending;
    /** Whether the store refuses the VM's calls, with its era. */
    boolean refusedByStore;
    /** Whether the VM takes a step before it handles the answers that arrived while it stood still. */
    boolean stepsBeforeWaitingAnswers;

    /** When a server last answered this VM. */
    long lastServerAnswerMillis;
    /** Whether the VM takes its own links to the servers for cut. */
    boolean linksCut;

    long pausedUntilMillis = Long.MIN_VALUE / 2;
    private final List<Runnable> waitingAnswers = new ArrayList<>();

    /** Starts the VM's first process at a time of the simulation. */
    SimulatedVm(String name, long startedMillis, long nowMillis) {
        this.name = name;
        start(startedMillis, new FirstUse(true, nowMillis));
    }

    /** Starts a process in place of the present one. */
    void restart(long startedMillis) {
        start(startedMillis, new FirstUse(false, 0));
    }

    private void start(long startedMillis, FirstUse ofProcess) {
        firstUse = ofProcess;
        Leader leader = new Leader(new VmStart(new VmId(name), startedMillis), "10.0.0.1", 7_000);
        coordinator = new RangeCoordinator(leader, RangeSimulation.TIMES, RangeEventListener.NONE, () -> 0, firstUse);
        waitingAnswers.clear();
        readPending = false;
    }

    boolean isPaused(long nowMillis) {
        return nowMillis < pausedUntilMillis;
    }

    /** Hands the answer to a read to the process that asked. */
    static void read(
            RangeCoordinator coordinator, RangeTable table, LogPosition position, long askedAtMillis, long nowMillis) {
        coordinator.onTable(table, position, nowMillis);
        coordinator.onStoreAnswer(position.era(), askedAtMillis);
    }

    void receive(Runnable answer, long nowMillis) {
        if (isPaused(nowMillis)) {
            waitingAnswers.add(answer);
        } else {
            answer.run();
        }
    }

    void handleWaitingAnswers() {
        List<Runnable> answers = List.copyOf(waitingAnswers);
        waitingAnswers.clear();
        answers.forEach(Runnable::run);
    }
}
