/** How entry VMs share the work of a group: which of them call the store, and which of them stand by to lead. */
package org.lacewingthread.core.membership;
