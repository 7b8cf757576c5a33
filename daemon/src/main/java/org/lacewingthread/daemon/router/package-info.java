/**
 * The process that routes requests: {@link org.lacewingthread.daemon.router.RouterProcess} connects the listener for
 * callers, the request dispatcher, the connections to servers and the platform.
 */
package org.lacewingthread.daemon.router;
