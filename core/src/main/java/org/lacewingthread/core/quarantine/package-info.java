/**
 * Knows requests that crash the backend servers that run them, so that such a request is kept from all servers. All
 * decisions are made here, without network and threads; {@link org.lacewingthread.core.quarantine.RequestQuarantine} is
 * the entry point.
 */
package org.lacewingthread.core.quarantine;
