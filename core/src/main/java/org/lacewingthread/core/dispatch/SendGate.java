package org.lacewingthread.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/**
 * Decides whether what is known of a server allows requests to it: a server that was last known to stay may have begun to
 * leave since, and its data centre may have been evacuated.
 *
 * <pre>{@code
 * SendGate gate = new SendGate(registryFreshness::allowsRequests, evacuationFreshness::allowsRequests);
 * if (gate.allows(server)) { ... }
 * }</pre>
 *
 * @param registryIsCurrent tells whether servers that are not known to leave may get requests
 * @param evacuationsAreCurrent tells whether servers whose data centres are not known to be evacuated may get requests
 */
public record SendGate(BooleanSupplier registryIsCurrent, BooleanSupplier evacuationsAreCurrent) {
    /** Returns whether a server may get requests as far as the ages of the views are concerned. */
    public boolean allows(KnownServer server) {
        boolean mayBeginToDrain =
                server.isReady() || (server.evacuated() && !server.entry().draining());
        boolean mayHaveBegunToLeave = mayBeginToDrain && !registryIsCurrent.getAsBoolean();
        boolean mayBeEvacuated = !server.evacuated() && !evacuationsAreCurrent.getAsBoolean();
        return !mayHaveBegunToLeave && !mayBeEvacuated;
    }

    /** Refuses a request at once if no server of its service is ready and some are in evacuated data centres. */
    static Optional<Choice> refuseIfEvacuated(DispatchRequest request, List<ServerLoadState> servers) {
        boolean someReady =
                servers.stream().anyMatch(state -> state.knownServer().isReady());
        boolean someEvacuated =
                servers.stream().anyMatch(state -> state.knownServer().evacuated());
        return !someReady && someEvacuated
                ? Optional.of(Refusals.atOnce(request, RefusalCause.EVACUATED))
                : Optional.empty();
    }
}
