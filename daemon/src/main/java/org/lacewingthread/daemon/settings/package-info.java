/** Settings files: JSON with comments, strictly checked. */
package org.lacewingthread.daemon.settings;
