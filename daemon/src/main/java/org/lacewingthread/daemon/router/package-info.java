/**
 * The process that routes requests: {@link org.lacewingthread.daemon.router.RouterProcess} joins the
 * side towards callers, the dispatch decisions, the connections to servers and the platform.
 */
package org.lacewingthread.daemon.router;
