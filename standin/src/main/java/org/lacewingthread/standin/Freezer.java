package org.lacewingthread.standin;

import java.util.ArrayList;
import java.util.List;

/** Holds back whatever a frozen server would do until it thaws. */
final class Freezer {
    private final List<Runnable> held = new ArrayList<>();
    private boolean frozen;

    /** Runs a task now, or after the thaw. */
    void run(Runnable task) {
        synchronized (this) {
            if (frozen) {
                held.add(task);
                return;
            }
        }
        task.run();
    }

    void freeze() {
        synchronized (this) {
            frozen = true;
        }
    }

    /** Ends the freeze and runs what was held back, in the order in which it came. */
    void thaw() {
        List<Runnable> tasks;
        synchronized (this) {
            frozen = false;
            tasks = List.copyOf(held);
            held.clear();
        }
        tasks.forEach(Runnable::run);
    }
}
