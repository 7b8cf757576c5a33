package org.lacewingthread.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/**
 * The limits that servers name in their responses, as one entry VM knows them, and this VM's permits. A limit is in
 * force from the response that names it until a response to a later request doesn't. Cold servers are limited too; where
 * a server has both limits, the lower one applies.
 *
 * <p>A request for a key needs a permit of the leader. Requests without key, and all requests while the leader is
 * silent, use this VM's slots: times that recur so often that the slots of all VMs make up the limit. A slot is lost if it
 * isn't used soon, since slots saved up by many VMs could be used at once.
 *
 * <p>Times are milliseconds of a monotonic clock. Not safe for use by several threads.
 */
final class ServerLimits {
    /** How long a permit may be used; the server may be busy when it arrives. */
    private static final long PERMIT_VALIDITY_MILLIS = 500;
    /** Time after which a permit counts as refused, or lost on its way; several times the usual round trip. */
    private static final long PERMIT_TIMEOUT_MILLIS = 150;
    /** Overdue answers in a row from which the leader counts as silent. */
    private static final int MIN_OVERDUE_IN_A_ROW = 3;
    /** Time from the first of these answers until the leader counts as silent. */
    private static final long LEADER_SILENCE_MILLIS = 1_000;
    /** How long a slot may be used. */
    private static final long SLOT_VALIDITY_MILLIS = 1_000;
    /** Smallest limit that slots are computed for. */
    private static final double MIN_LIMIT_PER_SECOND = 1e-3;

    private static final double MILLIS_PER_SECOND = 1e3;

    private final RandomGenerator random;
    private final ColdServers coldServers;
    private final Map<ServerStart, Limit> limits = new HashMap<>();
    private final Map<Long, Pending> pendingByNumber = new HashMap<>();
    private final Map<Long, Permitted> permittedByNumber = new HashMap<>();
    private OptionalInt entryVmCount = OptionalInt.empty();
    private int overdueInARow;
    private long firstOverdueMillis;

    /** A limit in force. */
    private static final class Limit {
        private NamedLimit named;
        private long namedAtMillis;
        private long nextSlotMillis;
    }

    /** A request that waits for the leader's answer. */
    private record Pending(DispatchRequest request, ServerStart server, long askedAtMillis) {
        boolean isOverdue(long nowMillis) {
            return nowMillis - askedAtMillis >= PERMIT_TIMEOUT_MILLIS;
        }
    }

    /** A permit; at a cold server it may be used for a shorter time, until the request is sent. */
    private record Permitted(ServerStart server, long validUntilMillis, long coldValidUntilMillis) {}

    ServerLimits(RandomGenerator random) {
        this.random = random;
        this.coldServers = new ColdServers(random);
    }

    /** Returns the servers that are limited since they are cold. */
    ColdServers coldServers() {
        return coldServers;
    }

    void setEntryVmCount(int count) {
        entryVmCount = OptionalInt.of(count);
        coldServers.setEntryVmCount(count);
    }

    /** Drops the limits of servers that are no longer known; a restarted server starts without a named one. */
    void onServers(List<KnownServer> known, long nowMillis) {
        limits.keySet().retainAll(known.stream().map(KnownServer::start).collect(Collectors.toSet()));
        coldServers.onServers(known, nowMillis);
    }

    /** Records that a server named a limit in a response; returns whether the limit is a new one. */
    boolean onNamed(ServerStart server, NamedLimit named, long nowMillis) {
        Limit limit = limits.get(server);
        if (limit == null) {
            limit = new Limit();
            limits.put(server, limit);
        }
        boolean changed = !named.equals(limit.named);
        limit.named = named;
        limit.namedAtMillis = nowMillis;
        if (changed) {
            limit.nextSlotMillis = nowMillis + Math.round(random.nextDouble() * slotIntervalMillis(limit));
        }
        return changed;
    }

    /**
     * Records a response without a limit; returns whether it ends one. The response to a request that was sent before
     * the limit was named may have been made before it too.
     */
    boolean onNotNamed(ServerStart server, long sentAtMillis) {
        Limit limit = limits.get(server);
        return limit != null && sentAtMillis > limit.namedAtMillis && limits.remove(server, limit);
    }

    boolean isLimited(ServerStart server) {
        return limits.containsKey(server) || coldServers.isLimited(server);
    }

    /** Returns whether a request for a key may be sent now, and uses up its permit if it needs one. */
    boolean tryUsePermit(long number, ServerStart server, long nowMillis) {
        if (!isLimited(server)) {
            return true;
        }
        Permitted permitted = permittedByNumber.remove(number);
        if (permitted == null || !permitted.server().equals(server)) {
            return false;
        }
        boolean cold = coldServers.isLimited(server);
        long validUntilMillis = cold ? permitted.coldValidUntilMillis() : permitted.validUntilMillis();
        if (nowMillis < validUntilMillis) {
            coldServers.allow(number, server, validUntilMillis);
        }
        return nowMillis < validUntilMillis;
    }

    /** Returns whether a decided request may still be sent, as far as limits of cold servers tell. */
    boolean maySend(Decision.Send send, long nowMillis) {
        return coldServers.maySend(send.request().number(), send.server().start(), nowMillis);
    }

    /** Returns the limit that a server named, in requests a second; empty if none is in force. */
    OptionalDouble namedPerSecond(ServerStart server) {
        Limit limit = limits.get(server);
        return limit == null ? OptionalDouble.empty() : OptionalDouble.of(limit.named.perSecond());
    }

    /** Returns whether this VM has a slot for a request to a limited server now. */
    boolean hasSlot(ServerStart server, long nowMillis) {
        return hasSlotOfNamedLimit(server, nowMillis) && coldServers.hasSlot(server, nowMillis);
    }

    private boolean hasSlotOfNamedLimit(ServerStart server, long nowMillis) {
        Limit limit = limits.get(server);
        if (limit == null) {
            return true;
        }
        return entryVmCount.isPresent() && nowMillis >= usableSlotMillis(limit, nowMillis);
    }

    /** Returns the time of the earliest slot that is not lost yet. */
    private long usableSlotMillis(Limit limit, long nowMillis) {
        long overdueMillis = nowMillis - limit.nextSlotMillis - SLOT_VALIDITY_MILLIS;
        long intervalMillis = slotIntervalMillis(limit);
        return overdueMillis < 0
                ? limit.nextSlotMillis
                : limit.nextSlotMillis + (overdueMillis / intervalMillis + 1) * intervalMillis;
    }

    /** Uses the slot of a limited server for a request, if this VM has one now. */
    boolean tryUseSlot(long number, ServerStart server, long nowMillis) {
        OptionalLong coldValidUntilMillis = takeSlot(server, nowMillis);
        coldValidUntilMillis.ifPresent(until -> coldServers.allow(number, server, until));
        return coldValidUntilMillis.isPresent();
    }

    /** Uses up the slot of a limited server; returns until when the request must have been sent if it is cold. */
    private OptionalLong takeSlot(ServerStart server, long nowMillis) {
        if (!hasSlot(server, nowMillis)) {
            return OptionalLong.empty();
        }
        Limit limit = limits.get(server);
        if (limit != null) {
            limit.nextSlotMillis = usableSlotMillis(limit, nowMillis) + slotIntervalMillis(limit);
        }
        return OptionalLong.of(coldServers.useSlot(server, nowMillis));
    }

    private long slotIntervalMillis(Limit limit) {
        double perSecond = Math.max(limit.named.perSecond(), MIN_LIMIT_PER_SECOND);
        return Math.max(1, Math.round(entryVmCount.orElse(1) * MILLIS_PER_SECOND / perSecond));
    }

    /** Lets a request wait for a permit, and returns the request to send to the leader. */
    Decision.AskPermit ask(DispatchRequest request, ServerStart server, long nowMillis) {
        pendingByNumber.put(request.number(), new Pending(request, server, nowMillis));
        Limit limit = limits.get(server);
        OptionalDouble coldPerSecond = coldServers.perSecond(server);
        boolean coldIsLower =
                coldPerSecond.isPresent() && (limit == null || coldPerSecond.getAsDouble() < limit.named.perSecond());
        return coldIsLower
                ? new Decision.AskPermit(
                        request, server, new NamedLimit(coldPerSecond.getAsDouble()), nowMillis, LimitKind.COLD)
                : new Decision.AskPermit(request, server, limit.named, limit.namedAtMillis, LimitKind.NAMED);
    }

    int pendingCount() {
        return pendingByNumber.size();
    }

    /** Forgets a request that is no longer wanted. */
    void cancel(long number) {
        pendingByNumber.remove(number);
        permittedByNumber.remove(number);
    }

    /**
     * Records the leader's answer and returns the request that waited for it; empty if it no longer waits, or waits for a
     * permit for another server by now. After a grant the request has a permit; after {@code NOT_LIMITED} the server
     * counts as not limited.
     */
    Optional<DispatchRequest> onPermit(long number, ServerStart server, PermitIssuer.Outcome outcome, long nowMillis) {
        Pending pending = pendingByNumber.get(number);
        overdueInARow = 0;
        if (pending == null || !pending.server().equals(server)) {
            return Optional.empty();
        }
        pendingByNumber.remove(number);
        if (outcome == PermitIssuer.Outcome.GRANTED) {
            permit(pending, nowMillis, pending.askedAtMillis() + ColdServers.PERMIT_USE_MILLIS);
        } else if (outcome == PermitIssuer.Outcome.NOT_LIMITED) {
            limits.remove(pending.server());
        } else {
            coldServers.onHeld(pending.server());
        }
        return Optional.of(pending.request());
    }

    private void permit(Pending pending, long nowMillis, long coldValidUntilMillis) {
        permittedByNumber.put(
                pending.request().number(),
                new Permitted(pending.server(), nowMillis + PERMIT_VALIDITY_MILLIS, coldValidUntilMillis));
    }

    /** A request that got no answer, and whether a slot of this VM permits it. */
    record Unanswered(DispatchRequest request, boolean permitted) {}

    /** Removes and returns the requests whose answer is overdue; those for which this VM has a slot get a permit. */
    List<Unanswered> takeOverdue(long nowMillis) {
        coldServers.tick(nowMillis);
        permittedByNumber.values().removeIf(permitted -> nowMillis >= permitted.validUntilMillis());
        if (pendingByNumber.isEmpty()) {
            return List.of();
        }
        List<Unanswered> overdue = new ArrayList<>();
        for (Pending pending : List.copyOf(pendingByNumber.values())) {
            if (!pending.isOverdue(nowMillis)) {
                continue;
            }
            pendingByNumber.remove(pending.request().number());
            OptionalLong slot =
                    isLeaderSilent(nowMillis) ? takeSlot(pending.server(), nowMillis) : OptionalLong.empty();
            if (slot.isPresent()) {
                // The slot of a server that is not cold does not end, and the server may turn cold meanwhile.
                permit(pending, nowMillis, Math.min(slot.getAsLong(), nowMillis + ColdServers.PERMIT_USE_MILLIS));
            } else {
                coldServers.onHeld(pending.server());
            }
            overdue.add(new Unanswered(pending.request(), slot.isPresent()));
        }
        return overdue;
    }

    /** Counts an overdue answer; returns whether so many were overdue that the leader counts as silent. */
    private boolean isLeaderSilent(long nowMillis) {
        if (overdueInARow == 0) {
            firstOverdueMillis = nowMillis;
        }
        overdueInARow++;
        return overdueInARow >= MIN_OVERDUE_IN_A_ROW && nowMillis - firstOverdueMillis >= LEADER_SILENCE_MILLIS;
    }
}
