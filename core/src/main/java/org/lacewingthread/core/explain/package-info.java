/** Descriptions of the router's decisions for operators. */
package org.lacewingthread.core.explain;
