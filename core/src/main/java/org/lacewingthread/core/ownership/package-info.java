/** Decides, on a leader, which backend server owns each shard and which entry VM dispatches for it. */
package org.lacewingthread.core.ownership;
