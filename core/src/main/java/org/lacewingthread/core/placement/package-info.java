/** Placement policies: which server a shard should live on, and which moves are worth making. */
package org.lacewingthread.core.placement;
