/** Typed records of the log, and the replica that derives its state by applying them in order. */
package org.lacewingthread.core.log;
