/** Ports to the platform (log service, list of VMs) and their HTTP adapters. */
package org.lacewingthread.daemon.platform;
