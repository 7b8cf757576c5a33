package org.lacewingthread.core.control;

import java.util.List;

/**
 * Control logic of one entry VM: a deterministic state machine that takes events and returns actions. The same
 * sequence of events and times always gives the same actions.
 *
 * <p>Not thread-safe; a single control thread owns the instance.
 */
public interface EntryVmControl {
    /**
     * Processes one event.
     *
     * @param event the event to process
     * @param nowMillis monotonic time of this VM at which the event happened; never decreases between calls
     * @return the actions to execute, in order
     */
    List<ControlAction> handle(ControlEvent event, long nowMillis);
}
