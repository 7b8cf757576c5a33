/** Second attempts of overdue repeatable requests, within limits on extra work. */
package org.lacewingthread.core.hedging;
