package org.lacewingthread.core.registry;

import java.util.List;
import org.lacewingthread.core.id.ServerId;

/**
 * Changes of the registry of servers between two positions of its log, for entry VMs that know all changes up to the
 * first one.
 *
 * @param era era of the store to which the positions belong
 * @param from position up to which all earlier changes have to be known
 * @param to position up to which all changes are known with these
 * @param changed newest entries of the servers that are new or have changed
 * @param removed servers that have no entry any more
 */
public record RegistryChanges(long era, long from, long to, List<ServerEntry> changed, List<ServerId> removed) {
    /**
     * Copies the lists.
     *
     * @throws IllegalArgumentException if the changes end before they begin
     */
    public RegistryChanges {
        if (to < from) {
            throw new IllegalArgumentException(
                    "registry changes from " + from + " to " + to + " end before they begin");
        }
        changed = List.copyOf(changed);
        removed = List.copyOf(removed);
    }
}
