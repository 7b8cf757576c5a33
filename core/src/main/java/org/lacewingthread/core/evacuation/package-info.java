/** Evacuated data centres, whose servers get no more requests. */
package org.lacewingthread.core.evacuation;
