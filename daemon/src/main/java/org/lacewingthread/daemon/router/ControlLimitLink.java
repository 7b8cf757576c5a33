package org.lacewingthread.daemon.router;

import java.util.function.Supplier;
import org.lacewingthread.core.dispatch.PermitRequest;
import org.lacewingthread.core.id.ServerStart;

/** Passes what the traffic thread learns of servers to the control loop, which is created later. */
final class ControlLimitLink implements LimitLink {
    private final Supplier<ControlLoop> controlLoop;

    ControlLimitLink(Supplier<ControlLoop> controlLoop) {
        this.controlLoop = controlLoop;
    }

    @Override
    public void askPermit(PermitRequest request) {
        controlLoop.get().limitExchange().ask(request);
    }

    @Override
    public void onLimitEnded(ServerStart server) {
        controlLoop.get().limitExchange().onLimitEnded(server);
    }

    @Override
    public void onServerLeaving(ServerStart server) {
        controlLoop.get().onServerLeaving(server);
    }

    @Override
    public void onSuspectedCold(ServerStart server, String reason) {
        controlLoop.get().coldServers().onSuspected(server, reason);
    }
}
