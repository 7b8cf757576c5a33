/**
 * Deterministic decisions of the router: no I/O, threads, wall clock or unseeded randomness.
 */
package org.lacewingthread.core;
