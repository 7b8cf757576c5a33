/** Measures request routing and the request-handling part of an entry VM. */
package org.lacewingthread.bench.traffic;
