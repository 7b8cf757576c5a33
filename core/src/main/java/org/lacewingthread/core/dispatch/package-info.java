/**
 * Decides where each request goes, how long it waits and when it is refused. {@link
 * org.lacewingthread.core.dispatch.RequestDispatcher} is the entry point.
 */
package org.lacewingthread.core.dispatch;
