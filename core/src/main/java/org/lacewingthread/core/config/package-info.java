/** Routing configuration that operators publish, with its validation and comparison. */
package org.lacewingthread.core.config;
