/** Value types for identifiers, used by all other packages. */
package org.lacewingthread.core.id;
