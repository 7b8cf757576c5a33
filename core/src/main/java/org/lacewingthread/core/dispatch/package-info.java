/**
 * Chooses a server for each request, and decides how long a request waits and when it is refused. {@link
 * org.lacewingthread.core.dispatch.RequestDispatcher} is the entry point.
 */
package org.lacewingthread.core.dispatch;
