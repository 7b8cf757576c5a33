package org.lacewingthread.core.id;

import java.util.Comparator;

/**
 * One start of the process on an entry VM. A restarted process is another member: it remembers no
 * lease that its predecessor gave.
 *
 * @param vm the entry VM
 * @param startNumber drawn at random when the process starts; not negative
 */
public record VmStart(VmId vm, long startNumber) implements Comparable<VmStart> {
    private static final Comparator<VmStart> ORDER =
            Comparator.comparing(VmStart::vm).thenComparingLong(VmStart::startNumber);

    /** Checks that both parts are present. */
    public VmStart {
        if (vm == null) {
            throw new IllegalArgumentException("VM id is missing");
        }
        if (startNumber < 0) {
            throw new IllegalArgumentException("start number " + startNumber + " of VM \"" + vm + "\" is negative");
        }
    }

    @Override
    public int compareTo(VmStart other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return vm + "#" + Long.toHexString(startNumber);
    }
}
