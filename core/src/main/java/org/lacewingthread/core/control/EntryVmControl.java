package org.lacewingthread.core.control;

import java.util.List;

/**
 * Control state of one entry VM: a deterministic state machine. Same inputs give the same outputs.
 *
 * <p>Not safe for use by several threads; one control thread owns it.
 */
public interface EntryVmControl {
    /**
     * Takes in one event.
     *
     * @param event what happened
     * @param nowMillis monotonic time of this VM when it happened; never falls
     * @return what to do, in order
     */
    List<ControlAction> handle(ControlEvent event, long nowMillis);
}
