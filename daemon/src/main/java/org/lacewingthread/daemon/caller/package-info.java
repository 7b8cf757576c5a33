/** HTTP server for callers. */
package org.lacewingthread.daemon.caller;
