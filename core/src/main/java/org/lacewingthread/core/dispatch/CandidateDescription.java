package org.lacewingthread.core.dispatch;

import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerStart;

/**
 * A server that could run a request, as this entry VM knows it.
 *
 * @param server the server
 * @param dataCentre its data centre
 * @param state whether it may get the request
 * @param slots requests that it runs at a time
 * @param inFlight requests that this VM has there
 * @param otherVmsLoad estimate of the other VMs' requests there
 * @param loadAgeMillis age of the load report behind the estimate; empty without one
 * @param serviceMillis measured or assumed time of a request
 * @param currentServiceMillis the same with the slowdown that the server reported
 * @param expectedMillis expected time until the response to a request sent now
 * @param restMillis time for which it wants no requests of this VM; 0 if it takes them
 * @param cold whether it runs slower than usual since its start
 * @param coldPerSecond requests a second that it tolerates from all VMs while it is cold; empty if that isn't limited
 * @param namedPerSecond requests a second that it takes from all VMs by its own word; empty if it named no limit
 * @param acceptsForMillis time for which it still gets requests for its keys; empty if it isn't leaving
 */
public record CandidateDescription(
        ServerStart server,
        DataCentreId dataCentre,
        CandidateState state,
        int slots,
        int inFlight,
        double otherVmsLoad,
        OptionalLong loadAgeMillis,
        double serviceMillis,
        double currentServiceMillis,
        double expectedMillis,
        long restMillis,
        boolean cold,
        OptionalDouble coldPerSecond,
        OptionalDouble namedPerSecond,
        OptionalLong acceptsForMillis) {}
