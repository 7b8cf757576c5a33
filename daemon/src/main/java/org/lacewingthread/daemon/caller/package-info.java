/** HTTP server for callers: reads and validates requests, and writes responses. */
package org.lacewingthread.daemon.caller;
