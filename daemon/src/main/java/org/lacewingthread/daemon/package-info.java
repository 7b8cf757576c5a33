/** Root package of the daemon module. */
package org.lacewingthread.daemon;
