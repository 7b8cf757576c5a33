/** Decides which requests and responses may use the memory of the process. */
package org.lacewingthread.core.memory;
