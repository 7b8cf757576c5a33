/** HTTP client for backend servers: connection pools, requests, health probes and orders. */
package org.lacewingthread.daemon.backend;
