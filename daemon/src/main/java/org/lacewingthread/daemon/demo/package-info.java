/** The demo: the whole path in one process, with stand-ins, faults and a check of what was promised. */
package org.lacewingthread.daemon.demo;
