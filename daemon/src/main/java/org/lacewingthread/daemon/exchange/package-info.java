/** Request and response types shared by the packages that talk to callers, other entry VMs and backend servers. */
package org.lacewingthread.daemon.exchange;
