/** Which backend servers exist, as the platform's registry tells it. */
package org.lacewingthread.core.registry;
