/** The demo: an end-to-end run in one process, with stand-ins, injected faults and a check of the guarantees. */
package org.lacewingthread.daemon.demo;
