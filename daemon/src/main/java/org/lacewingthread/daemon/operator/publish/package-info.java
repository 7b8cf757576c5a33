/** Reads the platform's log from the command line, and publishes records to it. */
package org.lacewingthread.daemon.operator.publish;
