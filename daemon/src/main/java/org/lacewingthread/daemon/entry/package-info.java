/** The process of one entry VM: control thread, access to the platform's log and VM list, wiring of components. */
package org.lacewingthread.daemon.entry;
