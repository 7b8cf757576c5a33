/** HTTP client: pooled outgoing connections with one request at a time on each. */
package org.lacewingthread.daemon.http;
