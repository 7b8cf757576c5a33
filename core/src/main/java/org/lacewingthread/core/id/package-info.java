/** Value types for the identifiers that every other package uses. */
package org.lacewingthread.core.id;
