/** Placement of shards: choice of data centre, owner and failover servers, and moves that balance the load. */
package org.lacewingthread.core.placement;
