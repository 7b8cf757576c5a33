/** The operator port: health, readiness, metrics, status and audit trail over HTTP. */
package org.lacewingthread.daemon.operator;
