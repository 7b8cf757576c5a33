package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

/**
 * Records every grant that may be in force at a server or may still take effect there, whatever became of the range
 * that it was sent for. A range may be granted to a server only while no other server can hold any of its keys:
 *
 * <pre>{@code
 * if (!ledger.mayBeHeldByOthers(service, range, server, liveness::hasEnded, nowMillis)) {
 *     ledger.onGrantSent(call, service, server, range, fence, holdMillis, nowMillis, latestArrivalMillis);
 * }
 * }</pre>
 *
 * <p>A grant is pending until its call is answered or aborted. It is settled once it can't newly take effect: because
 * the server answered it for certain, or because the server accepted a higher fence for the keys. Only settled grants are
 * cleared by a release, since another one may be applied after the release.
 *
 * <p>Calls name the id of a server, so a grant for one start may take effect at a later start with the same id, which has
 * seen no fence. Grants therefore count for the id. An accepted grant settles another one of a server that may restart
 * under its id only if it was sent when the other one had arrived: then no start after the one that accepted it can get
 * the other.
 */
final class GrantLedger {
    /** Call number of grants that leaders of earlier terms may have sent. */
    private static final long NO_CALL = 0;

    /** Far from overflow, since durations are added to it. */
    private static final long UNBOUNDED = Long.MAX_VALUE / 2;

    private final RangeLeaseTimes times;
    private final LongSupplier clockLeadMillis;
    private final Map<ServerId, List<Entry>> entriesByServer = new HashMap<>();
    private long settlements;

    private enum State {
        /** The call has neither been answered nor aborted. */
        PENDING,
        /** The grant may take effect later. */
        UNSETTLED,
        /** The grant has taken effect, or never will. */
        SETTLED
    }

    /**
     * A grant, or the part of one that covers some of its keys.
     *
     * @param server start that the grant is meant for
     * @param sentMillis when the call was sent
     * @param latestArrivalMillis time by which the call has arrived, or never will
     * @param heldUntilMillis time after which the grant can't be in force; {@link #UNBOUNDED} while former leaders may
     *     renew it
     * @param settlement number of the settlement, which orders it against releases; 0 unless settled
     */
    private record Entry(
            ServiceId service,
            ServerStart server,
            KeyRange range,
            long call,
            long fence,
            long holdMillis,
            long sentMillis,
            long latestArrivalMillis,
            State state,
            long heldUntilMillis,
            long settlement) {
        boolean overlaps(ServiceId otherService, KeyRange other) {
            return service.equals(otherService) && range.overlaps(other);
        }

        boolean isInForce(long steadyMillis) {
            return state == State.PENDING || steadyMillis < heldUntilMillis;
        }

        Entry withRange(KeyRange part) {
            return with(part, latestArrivalMillis, state, heldUntilMillis, settlement);
        }

        Entry unsettled(long arrivalMillis, long untilMillis) {
            return with(range, arrivalMillis, State.UNSETTLED, untilMillis, 0);
        }

        Entry settled(long untilMillis, long number) {
            return with(range, latestArrivalMillis, State.SETTLED, untilMillis, number);
        }

        private Entry with(KeyRange keys, long arrivalMillis, State newState, long untilMillis, long number) {
            return new Entry(
                    service,
                    server,
                    keys,
                    call,
                    fence,
                    holdMillis,
                    sentMillis,
                    arrivalMillis,
                    newState,
                    untilMillis,
                    number);
        }

        /** Returns whether this grant can't newly take effect once the other one, with a higher fence, was accepted. */
        boolean isSettledBy(Entry accepted) {
            return !server.mayRestartWithSameId() || accepted.sentMillis() >= latestArrivalMillis;
        }
    }

    GrantLedger(RangeLeaseTimes times, LongSupplier clockLeadMillis) {
        this.times = times;
        this.clockLeadMillis = clockLeadMillis;
    }

    /** Converts a time of the coordinator's clock to one that advances no faster than the servers' clocks. */
    private long toSteadyMillis(long clockMillis) {
        return clockMillis - clockLeadMillis.getAsLong();
    }

    /** Records that a grant is sent; the call arrives by the given time, or is aborted. */
    void onGrantSent(
            long call,
            ServiceId service,
            ServerStart server,
            KeyRange range,
            long fence,
            long holdMillis,
            long nowMillis,
            long latestArrivalMillis) {
        long arrivalMillis = toSteadyMillis(latestArrivalMillis);
        entriesOf(server)
                .add(new Entry(
                        service,
                        server,
                        range,
                        call,
                        fence,
                        holdMillis,
                        toSteadyMillis(nowMillis),
                        arrivalMillis,
                        State.PENDING,
                        times.heldUntilMillis(arrivalMillis, holdMillis),
                        0));
    }

    /**
     * Records that leaders of earlier terms may have granted a range to its owner.
     *
     * @param latestArrivalMillis time by which their last grant arrives; empty while they may renew it
     */
    void addGrantOfFormerLeaders(
            ServiceId service, ServerStart owner, KeyRange range, Optional<Long> latestArrivalMillis) {
        Optional<Long> arrivalMillis = latestArrivalMillis.map(this::toSteadyMillis);
        entriesOf(owner)
                .add(formerLeadersEntry(service, owner, range)
                        .unsettled(
                                arrivalMillis.orElse(UNBOUNDED),
                                arrivalMillis.map(times::heldUntilMillis).orElse(UNBOUNDED)));
    }

    /**
     * Records that a former owner may hold a range whose move was recorded in an earlier term. A leader sends it no
     * grant once the move may be recorded, and moves keys only from an owner whose grants are settled.
     */
    void addGrantBeforeRecordedMove(
            ServiceId service, ServerStart formerOwner, KeyRange range, long latestArrivalMillis) {
        entriesOf(formerOwner)
                .add(formerLeadersEntry(service, formerOwner, range)
                        .settled(times.heldUntilMillis(toSteadyMillis(latestArrivalMillis)), ++settlements));
    }

    private Entry formerLeadersEntry(ServiceId service, ServerStart server, KeyRange range) {
        return new Entry(
                service, server, range, NO_CALL, 0, times.holdMillis(), 0, UNBOUNDED, State.UNSETTLED, UNBOUNDED, 0);
    }

    /** Records that former leaders have stopped, and that their last grants arrive by the given time. */
    void onFormerLeadersStopped(long latestArrivalMillis) {
        long arrivalMillis = toSteadyMillis(latestArrivalMillis);
        long untilMillis = times.heldUntilMillis(arrivalMillis);
        entriesByServer
                .values()
                .forEach(entries -> entries.replaceAll(entry ->
                        entry.heldUntilMillis() == UNBOUNDED ? entry.unsettled(arrivalMillis, untilMillis) : entry));
    }

    /** Forgets all grants, since those of earlier terms are added anew from the table of the new one. */
    void clear() {
        entriesByServer.clear();
    }

    /** Records the answer of a grant, or that its call was aborted. */
    void onGrantAnswer(long call, ServerStart server, GrantOutcome outcome, long nowMillis) {
        List<Entry> entries = entriesOf(server);
        if (outcome == GrantOutcome.GRANTED) {
            onGranted(call, entries, toSteadyMillis(nowMillis));
        } else if (outcome == GrantOutcome.GRANTED_IN_DOUBT) {
            // The call is on a connection that was open when it was sent, so it reaches no later start of the server.
            long answeredMillis = toSteadyMillis(nowMillis);
            entries.replaceAll(
                    entry -> entry.call() == call ? entry.unsettled(answeredMillis, entry.heldUntilMillis()) : entry);
        } else if (outcome == GrantOutcome.FENCED || outcome == GrantOutcome.NOT_SENT) {
            entries.removeIf(entry -> entry.call() == call);
        } else if (outcome == GrantOutcome.SERVER_REPLACED) {
            removeServer(server);
        } else {
            // The call may arrive after it was aborted, up to the time that was assumed when it was sent.
            long abortedMillis = toSteadyMillis(nowMillis);
            entries.replaceAll(entry -> entry.call() == call && entry.state() == State.PENDING
                    ? entry.unsettled(
                            Math.max(entry.latestArrivalMillis(), abortedMillis),
                            Math.max(entry.heldUntilMillis(), times.heldUntilMillis(abortedMillis, entry.holdMillis())))
                    : entry);
        }
    }

    private void onGranted(long call, List<Entry> entries, long steadyMillis) {
        for (Entry granted : List.copyOf(entries)) {
            if (granted.call() == call) {
                settleSuperseded(granted, entries, steadyMillis);
            }
        }
    }

    /** Settles an accepted grant, and what it covers of the server's grants with lower fences. */
    private void settleSuperseded(Entry granted, List<Entry> entries, long steadyMillis) {
        entries.remove(granted);
        long heldUntilMillis = times.heldUntilMillis(steadyMillis, granted.holdMillis());
        List<Entry> kept = new ArrayList<>();
        for (Entry entry : entries) {
            boolean superseded = entry.fence() < granted.fence() && entry.overlaps(granted.service(), granted.range());
            if (superseded && entry.state() != State.SETTLED && entry.isSettledBy(granted)) {
                entry.range().without(granted.range()).forEach(part -> kept.add(entry.withRange(part)));
                long endMillis = Math.min(
                        entry.state() == State.PENDING ? UNBOUNDED : entry.heldUntilMillis(),
                        times.heldUntilMillis(steadyMillis, entry.holdMillis()));
                kept.add(entry.withRange(entry.range().intersection(granted.range()))
                        .settled(endMillis, ++settlements));
            } else {
                kept.add(entry);
            }
        }
        kept.removeIf(entry -> entry.state() == State.SETTLED
                && entry.service().equals(granted.service())
                && entry.range().without(granted.range()).isEmpty()
                && entry.heldUntilMillis() <= heldUntilMillis);
        kept.add(granted.settled(heldUntilMillis, ++settlements));
        entries.clear();
        entries.addAll(kept);
    }

    /** Returns a mark to be taken when a release is sent; {@link #onReleased} clears what was settled before it. */
    long settlementMark() {
        return settlements;
    }

    /** Records that a server released a range; grants settled after the mark may have arrived later and remain. */
    void onReleased(ServiceId service, ServerStart server, KeyRange range, long settlementMark) {
        List<Entry> entries = entriesOf(server);
        for (Entry entry : List.copyOf(entries)) {
            boolean cleared = entry.state() == State.SETTLED
                    && entry.settlement() <= settlementMark
                    && entry.overlaps(service, range);
            if (cleared) {
                entries.remove(entry);
                entry.range().without(range).forEach(part -> entries.add(entry.withRange(part)));
            }
        }
    }

    /** Records that a start has ended and gets no calls; a later start with its id may hold what it was granted itself. */
    void removeServer(ServerStart server) {
        entriesOf(server).removeIf(entry -> entry.server().equals(server));
    }

    /** Returns whether a server with another id than the given one may hold a key of the range, now or later. */
    boolean mayBeHeldByOthers(
            ServiceId service, KeyRange range, ServerStart server, Predicate<ServerStart> hasEnded, long nowMillis) {
        long steadyMillis = toSteadyMillis(nowMillis);
        for (Map.Entry<ServerId, List<Entry>> other : entriesByServer.entrySet()) {
            if (other.getKey().equals(server.server())) {
                continue;
            }
            for (Entry entry : other.getValue()) {
                boolean mayHold = entry.overlaps(service, range) && entry.isInForce(steadyMillis);
                if (mayHold && !hasEnded.test(entry.server())) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns whether a server may hold a key of the range, now or later. */
    boolean mayHold(ServiceId service, ServerStart server, KeyRange range, long nowMillis) {
        long steadyMillis = toSteadyMillis(nowMillis);
        return recordedOf(server).stream()
                .anyMatch(entry -> entry.overlaps(service, range) && entry.isInForce(steadyMillis));
    }

    /** Returns whether a grant of some of the keys to the server awaits its answer. */
    boolean hasPendingGrant(ServiceId service, ServerStart server, KeyRange range) {
        return recordedOf(server).stream()
                .anyMatch(entry -> entry.state() == State.PENDING && entry.overlaps(service, range));
    }

    /** Returns whether the server holds keys of the range, and none of its grants for them may newly take effect. */
    boolean isConfirmed(ServiceId service, ServerStart server, KeyRange range, long nowMillis) {
        long steadyMillis = toSteadyMillis(nowMillis);
        boolean holds = false;
        for (Entry entry : recordedOf(server)) {
            if (entry.overlaps(service, range) && entry.isInForce(steadyMillis)) {
                if (entry.state() != State.SETTLED) {
                    return false;
                }
                holds = true;
            }
        }
        return holds;
    }

    /** Returns the time after which the server can't hold any key of the range, or the present time if it can't now. */
    long heldUntilMillis(ServiceId service, ServerStart server, KeyRange range, long nowMillis) {
        long untilMillis = toSteadyMillis(nowMillis);
        for (Entry entry : recordedOf(server)) {
            if (entry.overlaps(service, range)) {
                untilMillis = Math.max(untilMillis, entry.heldUntilMillis());
            }
        }
        return untilMillis == UNBOUNDED ? UNBOUNDED : untilMillis + clockLeadMillis.getAsLong();
    }

    private List<Entry> entriesOf(ServerStart server) {
        return entriesByServer.computeIfAbsent(server.server(), id -> new ArrayList<>());
    }

    private List<Entry> recordedOf(ServerStart server) {
        return entriesByServer.getOrDefault(server.server(), List.of());
    }

    /** Drops the grants that can't be in force any more. */
    void removeExpired(long nowMillis) {
        long steadyMillis = toSteadyMillis(nowMillis);
        entriesByServer.values().forEach(entries -> entries.removeIf(entry -> !entry.isInForce(steadyMillis)));
        entriesByServer.values().removeIf(List::isEmpty);
    }
}
