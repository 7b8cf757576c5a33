/**
 * What a process knows about when the bytes that it reads arrived. A process that is short of processor time finds requests
 * together with the ends of their connections, long after both arrived.
 */
package org.lacewingthread.core.arrival;
