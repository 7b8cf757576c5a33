package org.lacewingthread.daemon.exchange;

/**
 * One HTTP header field.
 *
 * @param name its name
 * @param value its value
 */
public record HeaderField(String name, String value) {}
