/** The entry VM's process: control thread, platform workers and the wiring of the peers' packages. */
package org.lacewingthread.daemon.entry;
