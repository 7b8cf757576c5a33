/** Tells from the logs of several VMs why a request ended as it did. */
package org.lacewingthread.daemon.explain;
