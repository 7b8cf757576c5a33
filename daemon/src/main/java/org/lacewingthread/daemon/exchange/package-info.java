/** Requests and answers as they pass between the packages that talk to callers, entry VMs and backend servers. */
package org.lacewingthread.daemon.exchange;
