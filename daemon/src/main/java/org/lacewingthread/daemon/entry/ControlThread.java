package org.lacewingthread.daemon.entry;

import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.control.EntryVmControl;

/**
 * Runs the control state machine on a single thread, the only one that accesses its state. Other
 * threads enqueue events; the resulting actions are passed to an {@link ActionHandler}. Events that
 * arrive while the queue is full are dropped, which the state machine treats like lost messages.
 */
final class ControlThread implements AutoCloseable {
    /** Performs the actions that the state machine requests; called on the control thread, so it must not block. */
    @FunctionalInterface
    interface ActionHandler {
        /** Performs one action. */
        void perform(ControlAction action);
    }

    private static final System.Logger LOG = System.getLogger(ControlThread.class.getName());
    private static final int MAX_WAITING_EVENTS = 16_384;
    private static final long TICK_MILLIS = 25;
    private static final long JOIN_TIMEOUT_MILLIS = 2_000;

    private final EntryVmControl control;
    private final ActionHandler actionHandler;
    private final LongSupplier clockMillis;
    private final LinkedBlockingQueue<ControlEvent> eventQueue = new LinkedBlockingQueue<>(MAX_WAITING_EVENTS);
    private final Thread thread = new Thread(this::run, "control");
    private volatile boolean closed;

    ControlThread(EntryVmControl control, ActionHandler actions, LongSupplier clockMillis) {
        this.control = control;
        this.actionHandler = actions;
        this.clockMillis = clockMillis;
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Enqueues an event without blocking; drops and logs it if the queue is full. */
    void offer(ControlEvent event) {
        if (!eventQueue.offer(event)) {
            LOG.log(System.Logger.Level.WARNING, "control event queue is full; dropped {0}", event.getClass());
        }
    }

    private void run() {
        long nextTickMillis = clockMillis.getAsLong();
        while (!closed) {
            try {
                long waitMillis = Math.max(0, nextTickMillis - clockMillis.getAsLong());
                ControlEvent event = eventQueue.poll(waitMillis, TimeUnit.MILLISECONDS);
                if (event == null) {
                    nextTickMillis = clockMillis.getAsLong() + TICK_MILLIS;
                    event = new ControlEvent.Tick();
                }
                handle(event);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void handle(ControlEvent event) {
        try {
            List<ControlAction> produced = control.handle(event, clockMillis.getAsLong());
            produced.forEach(actionHandler::perform);
        } catch (RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "the control failed to handle " + event.getClass().getSimpleName(),
                    e);
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        try {
            thread.join(JOIN_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
