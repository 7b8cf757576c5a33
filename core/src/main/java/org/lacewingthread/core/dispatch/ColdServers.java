package org.lacewingthread.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.random.RandomGenerator;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/**
 * The cold servers whose rate is limited, as one entry VM knows them, and this VM's part of their requests. A server is
 * limited from the first topology that shows it as cold until one that doesn't.
 *
 * <p>Requests for keys need a permit of the leader, which permits as many as the rate of the server. Requests without
 * key, and all requests while the leader is silent, use this VM's slots: times of random phase, of which all VMs together
 * have half the rate. Slots and permits may be used for a short time only, including the time until the request is
 * sent, since those saved up by many VMs could otherwise be used within one second.
 *
 * <pre>{@code
 * coldServers.onServers(known, nowMillis);
 * if (coldServers.hasSlot(server, nowMillis)) { ... }
 * ...
 * for (ColdServers.Change change : coldServers.takeChanges()) { ... }
 * }</pre>
 *
 * <p>Times are milliseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class ColdServers {
    /** Time from the question for a permit until the request must have been sent; longer than the wait for the answer. */
    static final long PERMIT_USE_MILLIS = 200;
    /** How long a slot can be taken; with more, the slots of several VMs add up within a second. */
    private static final long SLOT_VALIDITY_MILLIS = 300;
    /** Time from the beginning of a slot until its request must have been sent; leaves time to open a connection. */
    private static final long SLOT_USE_MILLIS = 400;
    /** Part of the rate that the slots of all VMs make up; the rest is left to permits of a leader that some VMs hear. */
    private static final double SLOT_RATE_SHARE = 0.5;
    /** Time after the first count of entry VMs in which no slot is used, since a new leader counts few of them. */
    private static final long COUNT_SETTLING_MILLIS = 3_000;
    /** The largest count of this period and the last one holds: VMs that a new leader misses still send requests. */
    private static final long COUNT_PERIOD_MILLIS = 60_000;
    /** Most changes that are kept for the log until they are taken. */
    private static final int MAX_CHANGES = 1_000;

    private static final double MILLIS_PER_SECOND = 1e3;

    private final RandomGenerator random;
    private final Map<ServerStart, Cold> coldByServer = new HashMap<>();
    private final Map<Long, Pass> passes = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private ColdRates rates = ColdRates.NONE;
    private List<KnownServer> servers = List.of();
    private OptionalInt newestCount = OptionalInt.empty();
    private int largestCount;
    private int largestCountOfPeriod;
    private int largestCountOfLastPeriod;
    private long periodSinceMillis = Long.MIN_VALUE / 2;
    private long sentCount;
    private long heldCount;
    private long countedSinceMillis = Long.MAX_VALUE / 2;

    /** A limited server. */
    private static final class Cold {
        private final double perSecond;
        private final long sinceMillis;
        private long nextSlotMillis;
        private long sent;
        private long held;

        Cold(double perSecond, long sinceMillis) {
            this.perSecond = perSecond;
            this.sinceMillis = sinceMillis;
        }
    }

    /** The right to send one request to a server until a time. */
    private record Pass(ServerStart server, long usableUntilMillis) {}

    /**
     * A server that became limited, or no longer is.
     *
     * @param server the server
     * @param perSecond rate that it tolerates from all entry VMs together
     * @param limited whether it is limited now
     * @param limitedMillis how long it was limited; 0 if it became so now
     * @param sent requests that this VM sent it meanwhile
     * @param held requests that this VM kept from it meanwhile
     */
    public record Change(
            ServerStart server, double perSecond, boolean limited, long limitedMillis, long sent, long held) {}

    ColdServers(RandomGenerator random) {
        this.random = random;
    }

    /** Sets the rates of cold servers, for those that are known too. */
    public void setRates(ColdRates newest, long nowMillis) {
        rates = newest;
        onServers(servers, nowMillis);
    }

    void setEntryVmCount(int count) {
        newestCount = OptionalInt.of(count);
    }

    /** Updates the limited servers. */
    void onServers(List<KnownServer> known, long nowMillis) {
        servers = known;
        Map<ServerStart, Cold> former = new HashMap<>(coldByServer);
        coldByServer.clear();
        for (KnownServer server : known) {
            OptionalDouble perSecond = rates.of(server.entry());
            if (perSecond.isPresent()) {
                Cold cold = former.get(server.start());
                if (cold == null || cold.perSecond != perSecond.getAsDouble()) {
                    cold = begin(server.start(), perSecond.getAsDouble(), nowMillis);
                } else {
                    former.remove(server.start());
                }
                coldByServer.put(server.start(), cold);
            }
        }
        former.forEach((server, cold) -> addChange(new Change(
                server,
                cold.perSecond,
                coldByServer.containsKey(server),
                nowMillis - cold.sinceMillis,
                cold.sent,
                cold.held)));
    }

    private Cold begin(ServerStart server, double perSecond, long nowMillis) {
        Cold cold = new Cold(perSecond, nowMillis);
        drawPhase(cold, nowMillis);
        addChange(new Change(server, perSecond, true, 0, 0, 0));
        return cold;
    }

    private void addChange(Change change) {
        if (changes.size() < MAX_CHANGES) {
            changes.add(change);
        }
    }

    /** Removes and returns the changes since the last call. */
    public List<Change> takeChanges() {
        List<Change> taken = List.copyOf(changes);
        changes.clear();
        return taken;
    }

    /** Returns the number of limited servers. */
    public int count() {
        return coldByServer.size();
    }

    /** Returns the number of requests that this VM has sent to limited servers. */
    public long sentCount() {
        return sentCount;
    }

    /** Returns the number of times that this VM has kept a request from a limited server, or refused it for one. */
    public long heldCount() {
        return heldCount;
    }

    /** Takes over the newest count of entry VMs and forgets outdated passes; to be called periodically. */
    void tick(long nowMillis) {
        passes.values().removeIf(pass -> nowMillis >= pass.usableUntilMillis());
        if (newestCount.isEmpty()) {
            return;
        }
        int count = Math.max(1, newestCount.getAsInt());
        countedSinceMillis = Math.min(countedSinceMillis, nowMillis);
        if (nowMillis - periodSinceMillis >= COUNT_PERIOD_MILLIS) {
            periodSinceMillis = nowMillis;
            largestCountOfLastPeriod = largestCountOfPeriod;
            largestCountOfPeriod = 0;
        }
        largestCountOfPeriod = Math.max(largestCountOfPeriod, count);
        int largest = Math.max(largestCountOfPeriod, largestCountOfLastPeriod);
        if (largest != largestCount) {
            largestCount = largest;
            coldByServer.values().forEach(cold -> drawPhase(cold, nowMillis));
        }
    }

    boolean isLimited(ServerStart server) {
        return coldByServer.containsKey(server);
    }

    /** Returns the rate that a limited server tolerates, in requests a second; empty if it is not limited. */
    OptionalDouble perSecond(ServerStart server) {
        Cold cold = coldByServer.get(server);
        return cold == null ? OptionalDouble.empty() : OptionalDouble.of(cold.perSecond);
    }

    /** Returns whether this VM may send a server a request without a permit now; true if it is not limited. */
    boolean hasSlot(ServerStart server, long nowMillis) {
        Cold cold = coldByServer.get(server);
        if (cold == null) {
            return true;
        }
        if (nowMillis - countedSinceMillis < COUNT_SETTLING_MILLIS) {
            return false;
        }
        return nowMillis >= usableSlotMillis(cold, nowMillis);
    }

    /** Returns the time of the earliest slot that is not lost yet. */
    private long usableSlotMillis(Cold cold, long nowMillis) {
        long overdueMillis = nowMillis - cold.nextSlotMillis - SLOT_VALIDITY_MILLIS;
        long intervalMillis = slotIntervalMillis(cold);
        return overdueMillis < 0
                ? cold.nextSlotMillis
                : cold.nextSlotMillis + (overdueMillis / intervalMillis + 1) * intervalMillis;
    }

    /** Uses up the slot that {@link #hasSlot} showed, and returns until when the request must have been sent. */
    long useSlot(ServerStart server, long nowMillis) {
        Cold cold = coldByServer.get(server);
        if (cold == null) {
            return Long.MAX_VALUE;
        }
        long slotMillis = usableSlotMillis(cold, nowMillis);
        cold.nextSlotMillis = slotMillis + slotIntervalMillis(cold);
        return slotMillis + SLOT_USE_MILLIS;
    }

    private long slotIntervalMillis(Cold cold) {
        return Math.max(
                1, Math.round(Math.max(1, largestCount) * MILLIS_PER_SECOND / (cold.perSecond * SLOT_RATE_SHARE)));
    }

    private void drawPhase(Cold cold, long nowMillis) {
        cold.nextSlotMillis = nowMillis + Math.round(random.nextDouble() * slotIntervalMillis(cold));
    }

    /** Lets a request be sent to a limited server until a time. */
    void allow(long number, ServerStart server, long usableUntilMillis) {
        Cold cold = coldByServer.get(server);
        if (cold != null) {
            cold.sent++;
            sentCount++;
            passes.put(number, new Pass(server, usableUntilMillis));
        }
    }

    /** Returns whether a decided request may still be sent; a server may have become limited since. */
    boolean maySend(long number, ServerStart server, long nowMillis) {
        Cold cold = coldByServer.get(server);
        if (cold == null) {
            return true;
        }
        Pass pass = passes.remove(number);
        boolean allowed = pass != null && pass.server().equals(server) && nowMillis < pass.usableUntilMillis();
        if (!allowed) {
            onHeld(server);
        }
        return allowed;
    }

    /** Counts a request that was kept from a server, if the server is limited. */
    void onHeld(ServerStart server) {
        Cold cold = coldByServer.get(server);
        if (cold != null) {
            cold.held++;
            heldCount++;
        }
    }
}
