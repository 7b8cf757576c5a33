package org.lacewingthread.core.keyrange;

import java.util.Optional;
import org.lacewingthread.core.id.ServerStart;

/**
 * Who owns a range.
 *
 * @param range the keys
 * @param owner server that owns them, or is to own them once the move ends
 * @param movingFrom former owner that may still hold them; empty unless the range is moving
 */
public record RangeOwnership(KeyRange range, ServerStart owner, Optional<ServerStart> movingFrom)
        implements Comparable<RangeOwnership> {
    /** Checks that range and owner are present. */
    public RangeOwnership {
        if (range == null || owner == null) {
            throw new IllegalArgumentException("range " + range + " with owner " + owner + " is not complete");
        }
    }

    /** Creates a range that is not moving. */
    public static RangeOwnership settled(KeyRange range, ServerStart owner) {
        return new RangeOwnership(range, owner, Optional.empty());
    }

    /** Tells whether the former owner may still hold the keys. */
    public boolean isMoving() {
        return movingFrom.isPresent();
    }

    @Override
    public int compareTo(RangeOwnership other) {
        return range.compareTo(other.range);
    }
}
