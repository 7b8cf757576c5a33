/** HTTP server of the operator port: liveness, readiness, metrics, status, audit trail and hand-over. */
package org.lacewingthread.daemon.operator;
