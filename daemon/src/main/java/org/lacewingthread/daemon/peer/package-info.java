/** Netty and protobuf links to other entry VMs: control messages and relayed requests. */
package org.lacewingthread.daemon.peer;
