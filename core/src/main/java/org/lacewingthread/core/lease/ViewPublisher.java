package org.lacewingthread.core.lease;

import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.ControlView;

/** Publishes a new {@link ControlView} whenever its content changes. */
final class ViewPublisher {
    private final VmContext context;
    private final DispatchLease dispatchLease;
    private ControlView lastView;

    ViewPublisher(VmContext context, DispatchLease dispatchLease) {
        this.context = context;
        this.dispatchLease = dispatchLease;
    }

    /** Publishes a view if anything in it differs from the last one. */
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

    /** Compares by identity. States and plans are immutable, and comparing their content may be expensive. */
    @SuppressWarnings("ReferenceEquality")
    private static boolean isSame(Object a, Object b) {
        return a == b;
    }
}
