package org.lacewingthread.core.explain;

import java.util.OptionalLong;

/**
 * Ages of what an entry VM knows of the servers.
 *
 * @param registryMillis age of its view of the registry; empty if it has read none
 * @param evacuationsMillis age of its view of the evacuated data centres; empty if the deployment has no evacuations, or none was read
 */
public record ViewAges(OptionalLong registryMillis, OptionalLong evacuationsMillis) {}
