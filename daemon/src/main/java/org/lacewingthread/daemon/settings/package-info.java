/** Reads and validates settings files, which are JSON with comments. */
package org.lacewingthread.daemon.settings;
