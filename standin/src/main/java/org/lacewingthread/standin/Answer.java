package org.lacewingthread.standin;

/** Answer of a run: the id of its request and the body. */
@SuppressWarnings("ArrayRecordComponent")
record Answer(String requestId, byte[] body) {}
