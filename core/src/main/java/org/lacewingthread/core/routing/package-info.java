/** Decides which backend server and entry VM a request goes to. */
package org.lacewingthread.core.routing;
