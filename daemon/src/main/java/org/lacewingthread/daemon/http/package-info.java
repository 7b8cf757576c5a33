/** Connections that this process opens, with one request at a time on each. */
package org.lacewingthread.daemon.http;
