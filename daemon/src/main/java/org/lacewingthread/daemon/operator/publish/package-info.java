/** Reads and publishes records of the platform's log for command-line tools. */
package org.lacewingthread.daemon.operator.publish;
