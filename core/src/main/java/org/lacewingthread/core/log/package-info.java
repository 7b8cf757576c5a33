/** Typed log records and the replica that folds them into state. */
package org.lacewingthread.core.log;
