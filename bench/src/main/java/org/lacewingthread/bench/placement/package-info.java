/** Measures placement with the real control core in virtual time, against plain baselines. */
package org.lacewingthread.bench.placement;
