/** Links between entry VMs over Netty and Protobuf: control messages, relayed requests, idempotency records. */
package org.lacewingthread.daemon.peer;
