/** Measures shard placement by the production control core in simulated time and compares it with stateless hashing. */
package org.lacewingthread.bench.placement;
