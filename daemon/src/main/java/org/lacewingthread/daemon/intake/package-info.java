/** The side towards callers: HTTP/1.1 connections whose pipelined requests are worked on at once. */
package org.lacewingthread.daemon.intake;
