/** Load generator, benchmarks and measurements of replicas, snapshots and stand-ins. */
package org.lacewingthread.bench;
