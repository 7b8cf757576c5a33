/** Structured event log: one JSON line for each event. */
package org.lacewingthread.daemon.events;
