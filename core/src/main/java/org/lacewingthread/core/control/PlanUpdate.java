package org.lacewingthread.core.control;

import java.util.List;
import java.util.Map;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;

/**
 * Difference between two versions of a {@link RoutePlan}, or a whole plan.
 *
 * @param term term of the plan
 * @param fromVersion version that the update applies to, or {@link #WHOLE_PLAN}
 * @param toVersion version that results from the update
 * @param dispatchers servers whose dispatcher is new or changed, with that dispatcher
 * @param removedDispatchers servers that have no dispatcher any more
 * @param owners shards whose ownership is new or changed, with that ownership
 * @param removedOwners shards that have no owner any more
 */
public record PlanUpdate(
        Term term,
        long fromVersion,
        long toVersion,
        Map<ServerId, VmStart> dispatchers,
        List<ServerId> removedDispatchers,
        Map<ShardId, RoutePlan.Ownership> owners,
        List<ShardId> removedOwners) {
    /** {@link #fromVersion} of an update that carries a whole plan. */
    public static final long WHOLE_PLAN = -1;

    /** Takes immutable copies of the collections. */
    public PlanUpdate {
        dispatchers = Map.copyOf(dispatchers);
        removedDispatchers = List.copyOf(removedDispatchers);
        owners = Map.copyOf(owners);
        removedOwners = List.copyOf(removedOwners);
    }
}
