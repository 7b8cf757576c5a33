package org.lacewingthread.daemon.events;

/**
 * A repeated task whose failure is logged and does not end the repetition.
 *
 * <pre>{@code
 * loop.scheduleAtFixedRate(new FailureLoggingTask(events, "deadlines", engine::tick), 10, 10, MILLISECONDS);
 * }</pre>
 *
 * @param events takes failures
 * @param name names the task in the log
 * @param task what to do
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
}
