package org.lacewingthread.standin;

import java.util.ArrayList;
import java.util.List;

/** Holds back whatever a frozen server would do until it thaws. */
final class PausableExecutor {
    private final List<Runnable> deferredTasks = new ArrayList<>();
    private boolean paused;

    /** Runs a task now, or after the thaw. */
    void run(Runnable task) {
        synchronized (this) {
            if (paused) {
                deferredTasks.add(task);
                return;
            }
        }
        task.run();
    }

    void pause() {
        synchronized (this) {
            paused = true;
        }
    }

    /** Ends the freeze and runs what was held back, in the order in which it came. */
    void resume() {
        List<Runnable> tasks;
        synchronized (this) {
            paused = false;
            tasks = List.copyOf(deferredTasks);
            deferredTasks.clear();
        }
        tasks.forEach(Runnable::run);
    }
}
