/** Dispatch of requests: routes, queues of the backend servers that this VM dispatches for, and retries. */
package org.lacewingthread.daemon.dispatch;
