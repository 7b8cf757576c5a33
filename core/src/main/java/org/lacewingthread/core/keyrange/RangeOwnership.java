package org.lacewingthread.core.keyrange;

import java.util.Optional;
import org.lacewingthread.core.id.ServerStart;

/**
 * The owner of a key range and, during a move, its former owner.
 *
 * @param range the keys
 * @param owner server that owns the keys; during a move, the server that will hold them afterwards
 * @param movingFrom former owner, which may still hold the keys; empty unless the range is moving
 */
public record RangeOwnership(KeyRange range, ServerStart owner, Optional<ServerStart> movingFrom)
        implements Comparable<RangeOwnership> {
    /**
     * Checks the range and the owner.
     *
     * @throws IllegalArgumentException if either is missing
     */
    public RangeOwnership {
        if (range == null || owner == null) {
            throw new IllegalArgumentException(
                    "ownership needs a range and an owner; range: " + range + ", owner: " + owner);
        }
    }

    /** Returns the ownership of a range that is not moving. */
    public static RangeOwnership settled(KeyRange range, ServerStart owner) {
        return new RangeOwnership(range, owner, Optional.empty());
    }

    /** Returns whether the range is moving, so that its former owner may still hold the keys. */
    public boolean isMoving() {
        return movingFrom.isPresent();
    }

    @Override
    public int compareTo(RangeOwnership other) {
        return range.compareTo(other.range);
    }
}
