package org.lacewingthread.core.lease;

import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.ControlView;

/** Publishes a view whenever something in it changed. */
final class ViewPublisher {
    private final VmContext context;
    private final DispatchLease dispatchLease;
    private ControlView lastView;

    ViewPublisher(VmContext context, DispatchLease dispatch) {
        this.context = context;
        this.dispatchLease = dispatch;
    }

    void publishIfChanged(boolean ready, boolean leaving) {
        if (lastView != null && isUnchanged(ready, leaving)) {
            return;
        }
        long number = lastView == null ? 0 : lastView.number() + 1;
        lastView = new ControlView(
                number,
                context.self(),
                context.identity().dataCentre(),
                ready,
                leaving,
                context.state(),
                dispatchLease.plan(),
                dispatchLease.deadlineMillis());
        dispatchLease.recordPublishedView(number);
        context.outbox().add(new ControlAction.Publish(lastView));
    }

    private boolean isUnchanged(boolean ready, boolean leaving) {
        return lastView.ready() == ready
                && lastView.leaving() == leaving
                && isSame(lastView.state(), context.state())
                && lastView.dispatchDeadlineMillis() == dispatchLease.deadlineMillis()
                && isSame(lastView.plan().orElse(null), dispatchLease.plan().orElse(null));
    }

    /** Compares by identity: states and plans are replaced, never changed, and may be large. */
    @SuppressWarnings("ReferenceEquality")
    private static boolean isSame(Object a, Object b) {
        return a == b;
    }
}
