package org.lacewingthread.daemon.router;

import org.lacewingthread.core.id.ServiceId;

/** Receives the keys of requests. */
interface KeyRequestListener {
    /** Called once for each request with a key. */
    void onKeyRequested(ServiceId service, int key);
}
