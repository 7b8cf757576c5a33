/** Control state machine of one entry VM: typed events in, typed actions out. */
package org.lacewingthread.core.control;
