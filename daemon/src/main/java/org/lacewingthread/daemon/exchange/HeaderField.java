package org.lacewingthread.daemon.exchange;

/**
 * One HTTP header field; a header with several values is several fields.
 *
 * @param name field name; compared without regard to case
 * @param value field value
 */
public record HeaderField(String name, String value) {}
