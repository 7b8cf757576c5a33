/**
 * Routing of requests to their dispatcher, and dispatch to backend servers: one queue per server, retries, and the
 * idempotency records that keep a non-repeatable request from running twice.
 */
package org.lacewingthread.daemon.dispatch;
