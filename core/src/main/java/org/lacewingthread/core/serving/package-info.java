/** Serving configuration: routes by host and path prefix, services, and limits for callers. */
package org.lacewingthread.core.serving;
