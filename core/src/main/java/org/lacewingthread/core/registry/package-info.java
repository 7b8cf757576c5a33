/** The backend servers that the platform's registry lists, and when they start and leave. */
package org.lacewingthread.core.registry;
