/** Traffic to backend servers: connections, requests, probes and orders. */
package org.lacewingthread.daemon.backend;
