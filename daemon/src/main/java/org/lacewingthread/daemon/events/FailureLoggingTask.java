package org.lacewingthread.daemon.events;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Runs a task and logs its exceptions, so that a scheduler doesn't cancel later runs.
 *
 * <pre>{@code
 * loop.scheduleAtFixedRate(new FailureLoggingTask(events, "deadlines", engine::tick), 10, 10, MILLISECONDS);
 * }</pre>
 *
 * @param events log for failures
 * @param name name of the task in the log
 * @param task task to run
 */
public record FailureLoggingTask(EventLog events, String name, Runnable task) implements Runnable {
    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException e) {
            events.writeFailure("task.failed", e, "task", name);
        }
    }

    /** Runs the task at a fixed rate, for the first time after one interval. */
    public void scheduleEvery(long intervalMillis, ScheduledExecutorService executor) {
        executor.scheduleAtFixedRate(this, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }
}
