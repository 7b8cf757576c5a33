package org.lacewingthread.core.keyrange;

import org.lacewingthread.core.id.ServerStart;

/** Restarts servers of a simulation under their ids. */
record SimulatedRestarts(RangeSimulation simulation) {
    /**
     * Ends a start of a server and starts it again under its id.
     *
     * @param downMillis time until the next start takes calls
     * @param hiddenMillis time after that until the registry shows the next start in place of the ended one
     * @param ready whether the next start then takes keys
     * @return the next start
     */
    ServerStart restart(ServerStart ended, long downMillis, long hiddenMillis, boolean ready) {
        ServerStart next = new ServerStart(ended.server(), ended.startedUnixMillis() + 1);
        simulation.servers.get(ended).alive = false;
        simulation.schedule(downMillis, () -> simulation.servers.put(next, new SimulatedKeyServer(next)));
        simulation.schedule(downMillis + hiddenMillis, () -> {
            simulation.registered.remove(ended);
            simulation.ready.remove(ended);
            register(next, ready);
        });
        return next;
    }

    /** Shows a start that still runs in the registry, in place of the earlier ones. */
    void register(ServerStart start, boolean ready) {
        if (!simulation.servers.get(start).alive) {
            return;
        }
        simulation.registered.removeIf(other -> other.server().equals(start.server()));
        simulation.ready.removeIf(other -> other.server().equals(start.server()));
        simulation.registered.add(start);
        if (ready) {
            simulation.ready.add(start);
        }
    }
}
