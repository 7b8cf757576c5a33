/** Finds the application and key of a request, and the backend server and entry VM that it goes to. */
package org.lacewingthread.core.routing;
