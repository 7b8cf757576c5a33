/** Server side for callers: HTTP/1.1 connections whose pipelined requests are processed concurrently. */
package org.lacewingthread.daemon.intake;
