/** Structured logs: one JSON line for each decision. */
package org.lacewingthread.daemon.events;
