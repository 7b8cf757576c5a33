package org.lacewingthread.core.lease;

import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.ControlView;

/** Publishes a view whenever something in it changed. */
final class ViewPublisher {
    private final VmContext context;
    private final DispatchLease dispatch;
    private ControlView last;

    ViewPublisher(VmContext context, DispatchLease dispatch) {
        this.context = context;
        this.dispatch = dispatch;
    }

    void publishIfChanged(boolean ready, boolean leaving) {
        if (last != null && isUnchanged(ready, leaving)) {
            return;
        }
        long number = last == null ? 0 : last.number() + 1;
        last = new ControlView(
                number,
                context.self(),
                context.identity().dataCentre(),
                ready,
                leaving,
                context.state(),
                dispatch.plan(),
                dispatch.deadlineMillis());
        dispatch.published(number);
        context.outbox().add(new ControlAction.Publish(last));
    }

    private boolean isUnchanged(boolean ready, boolean leaving) {
        return last.ready() == ready
                && last.leaving() == leaving
                && isSame(last.state(), context.state())
                && last.dispatchDeadlineMillis() == dispatch.deadlineMillis()
                && isSame(last.plan().orElse(null), dispatch.plan().orElse(null));
    }

    /** Compares by identity: states and plans are replaced, never changed, and may be large. */
    @SuppressWarnings("ReferenceEquality")
    private static boolean isSame(Object a, Object b) {
        return a == b;
    }
}
