/** Whether this entry VM reaches the backend servers, and which entry VMs do. */
package org.lacewingthread.core.reachability;
