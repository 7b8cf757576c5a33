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
 * @param members roster members that may be dispatchers: live, and neither draining nor leaving
 * @param ledger what each entry VM may still do
 * @param predecessorEndMillis monotonic time by which every dispatch lease and server lease that an
 *     earlier leader gave has run out
 * @param held what each VM reported to hold under plans of earlier terms; absent if it did not report
 * @param allReported whether every roster member reported
 * @param conditions newest observed condition of each server
 * @param loads newest load of each server
 */
public record OwnershipInputs(
        DataCentreId dataCentre,
        VmStart self,
        Term term,
        ReplicaState state,
        boolean logReachable,
        List<VmStart> members,
        DispatchLedger ledger,
        long predecessorEndMillis,
        Map<VmStart, Optional<RoutePlan>> held,
        boolean allReported,
        Map<ServerId, ServerCondition> conditions,
        Map<ServerId, ServerLoad> loads) {}
