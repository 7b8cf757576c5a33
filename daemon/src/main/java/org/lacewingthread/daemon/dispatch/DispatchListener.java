package org.lacewingthread.daemon.dispatch;

import java.util.List;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.ServerId;

/** Receives observations about servers and control views from the dispatcher; called on I/O threads, must not block. */
public interface DispatchListener {
    /** Reports that the condition of a server changed, as observed by requests and health probes. */
    void onServerConditionChanged(ServerId server, ServerCondition condition);

    /** Reports that no request is in flight any more for the routes that a view removed. */
    void onViewDrained(long view);

    /** Reports the load of the servers that this VM dispatches for since the previous report. */
    void onLoadMeasured(List<ServerLoad> load);
}
