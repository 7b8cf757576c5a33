/** Measurements of the traffic side. */
package org.lacewingthread.bench.traffic;
