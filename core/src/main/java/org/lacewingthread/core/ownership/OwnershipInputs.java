package org.lacewingthread.core.ownership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.ReplicaState;

/**
 * What a leader knows when it decides on shard ownership.
 *
 * @param dataCentre the leader's data centre
 * @param self the leader's entry VM process
 * @param term the leader's term
 * @param state state derived from the log
 * @param logReachable whether the log answers; if not, shards move only along recorded failover lists
 * @param eligibleDispatchers live roster members that are neither draining nor leaving
 * @param dispatcherStatus which plans each entry VM may still dispatch under
 * @param predecessorEndMillis monotonic time by which every dispatch lease and server lease granted by
 *     earlier leaders has expired
 * @param reportedPlans the plan of an earlier term that each VM reported to act under, empty if it has none;
 *     a VM that has not reported has no entry
 * @param allReported whether every roster member has reported
 * @param serverConditions latest observed condition of each server
 * @param serverLoads latest load of each server
 */
public record OwnershipInputs(
        DataCentreId dataCentre,
        VmStart self,
        Term term,
        ReplicaState state,
        boolean logReachable,
        List<VmStart> eligibleDispatchers,
        DispatcherStatus dispatcherStatus,
        long predecessorEndMillis,
        Map<VmStart, Optional<RoutePlan>> reportedPlans,
        boolean allReported,
        Map<ServerId, ServerCondition> serverConditions,
        Map<ServerId, ServerLoad> serverLoads) {}
