/** Sockets that are read up to the present when somebody has to know whether their peers are still there. */
package org.lacewingthread.daemon.reading;
