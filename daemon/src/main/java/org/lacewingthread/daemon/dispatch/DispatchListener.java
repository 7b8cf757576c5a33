package org.lacewingthread.daemon.dispatch;

import java.util.List;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.ServerId;

/** Takes what dispatching tells about servers and views; called on I/O threads, must not block. */
public interface DispatchListener {
    /** A server's condition as seen by its requests changed. */
    void onServerConditionChanged(ServerId server, ServerCondition condition);

    /** No request is in flight for what a view removed. */
    void onViewDrained(long view);

    /** Load of the servers that this VM dispatches for was measured. */
    void onLoadMeasured(List<ServerLoad> load);
}
