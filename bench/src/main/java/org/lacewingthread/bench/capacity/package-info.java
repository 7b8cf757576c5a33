/** Measures what the control of a deployment costs by its size, in virtual time and without connections. */
package org.lacewingthread.bench.capacity;
