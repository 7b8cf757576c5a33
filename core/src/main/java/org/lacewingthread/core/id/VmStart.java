package org.lacewingthread.core.id;

import java.util.Comparator;

/**
 * One incarnation of the process on an entry VM. A restarted process is a different member, since it
 * does not know the leases that its predecessor granted.
 *
 * @param vm id of the entry VM
 * @param startNumber random number drawn when the process starts; not negative
 */
public record VmStart(VmId vm, long startNumber) implements Comparable<VmStart> {
    private static final Comparator<VmStart> ORDER =
            Comparator.comparing(VmStart::vm).thenComparingLong(VmStart::startNumber);

    /** Checks that the VM id is present and the start number is not negative. */
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
