/** Interfaces to the platform's log service and list of VMs, their HTTP clients, and the format of log records. */
package org.lacewingthread.daemon.platform;
