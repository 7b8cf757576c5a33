/** Routing configuration that operators publish: applications, backend servers, labels, selectors. */
package org.lacewingthread.core.config;
