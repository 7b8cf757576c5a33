/** Decisions of the leader on which backend server owns each shard and which entry VM dispatches for it. */
package org.lacewingthread.core.ownership;
