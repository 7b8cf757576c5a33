/** Measures the cost of the control protocol by deployment size, in simulated time and without network connections. */
package org.lacewingthread.bench.capacity;
