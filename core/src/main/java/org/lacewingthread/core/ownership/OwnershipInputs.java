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
 * What a leader knows when it decides on ownership.
 *
 * @param dataCentre its data centre
 * @param self its process
 * @param term its term
 * @param state state folded from the log
 * @param logReachable whether the log answers; if not, only steps along recorded failover lists are made
 * @param eligibleDispatchers roster members that may be dispatchers: live, and neither draining nor leaving
 * @param dispatcherStatus what each entry VM may still do
 * @param predecessorEndMillis monotonic time by which every dispatch lease and server lease that an
 *     earlier leader gave has run out
 * @param reportedPlans what each VM reported to hold under plans of earlier terms; absent if it did not report
 * @param allReported whether every roster member reported
 * @param serverConditions newest observed condition of each server
 * @param serverLoads newest load of each server
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
