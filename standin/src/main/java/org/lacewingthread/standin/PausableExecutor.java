package org.lacewingthread.standin;

import java.util.ArrayList;
import java.util.List;

/** Runs tasks on the calling thread, or defers them while paused. */
final class PausableExecutor {
    private final List<Runnable> deferredTasks = new ArrayList<>();
    private boolean paused;

    /** Runs a task now, or on {@link #resume} if paused. */
    void run(Runnable task) {
        synchronized (this) {
            if (paused) {
                deferredTasks.add(task);
                return;
            }
        }
        task.run();
    }

    /** Defers all tasks submitted from now on. */
    void pause() {
        synchronized (this) {
            paused = true;
        }
    }

    /** Ends the pause and runs the deferred tasks in the order of their submission. */
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
