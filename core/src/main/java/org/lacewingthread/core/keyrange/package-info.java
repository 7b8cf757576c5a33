/**
 * Exclusive ownership of ranges of a numeric key space. {@link
 * org.lacewingthread.core.keyrange.RangeCoordinator} is the entry point; the table of owners lasts in
 * the platform's store, and servers enforce it by fenced, timed grants.
 */
package org.lacewingthread.core.keyrange;
