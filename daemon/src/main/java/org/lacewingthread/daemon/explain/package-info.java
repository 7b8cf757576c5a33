/** Explains the result of a request from the logs of several VMs. */
package org.lacewingthread.daemon.explain;
