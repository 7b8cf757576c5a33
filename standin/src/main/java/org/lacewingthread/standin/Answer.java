package org.lacewingthread.standin;

/** Response to a request that ran: the id to send in the request id header, or null, and the body. */
@SuppressWarnings("ArrayRecordComponent")
record Answer(String requestId, byte[] body) {}
