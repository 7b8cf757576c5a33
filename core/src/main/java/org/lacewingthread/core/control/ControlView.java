package org.lacewingthread.core.control;

import java.util.Optional;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.ReplicaState;

/**
 * Immutable snapshot of control state that traffic threads read.
 *
 * @param number increases with every published view
 * @param self process that publishes the view
 * @param dataCentre data centre of this VM
 * @param ready whether the state is current enough to serve
 * @param leaving whether this VM is handing over its work
 * @param state state built from the records of the log
 * @param plan the route plan of this data centre, empty until a leader has sent one
 * @param dispatchDeadlineMillis monotonic time at which this VM's dispatch lease under the plan ends;
 *     traffic checks it before every send
 */
public record ControlView(
        long number,
        VmStart self,
        DataCentreId dataCentre,
        boolean ready,
        boolean leaving,
        ReplicaState state,
        Optional<RoutePlan> plan,
        long dispatchDeadlineMillis) {}
