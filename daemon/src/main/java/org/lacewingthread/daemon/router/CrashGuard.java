package org.lacewingthread.daemon.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.lacewingthread.core.dispatch.AttemptResult;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.quarantine.CrashRecord;
import org.lacewingthread.core.quarantine.QuarantineDecision;
import org.lacewingthread.core.quarantine.RequestFingerprint;
import org.lacewingthread.core.quarantine.RequestQuarantine;
import org.lacewingthread.daemon.events.EventLog;

/**
 * Keeps requests that crash servers from further servers: notices servers that end under a request, shares that with the
 * other entry VMs, and decides before each send whether a copy of the request passes, waits for the result of another
 * copy, or is refused. All methods run on the traffic thread.
 */
final class CrashGuard {
    /** Longest wait of a repeated request for the test whether its last server ended; a connection takes far less. */
    private static final long MAX_TEST_MILLIS = 50;
    /** Longest wait of a copy for the result of another one. */
    private static final long MAX_HOLD_MILLIS = 1_000;
    /** Part of the time left that a copy waits at most, so that it can still be served. */
    private static final int HOLD_DIVISOR = 2;
    /** Retry-After of a copy whose wait is over; about one service time. */
    private static final long HELD_RETRY_AFTER_MILLIS = 200;
    /** Longest Retry-After of a rejected request. */
    private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

    private final RequestEngine engine;
    private final RequestRetries retries;
    private final ServerTester tester;
    private final CrashRecordLink link;
    private final QuarantineLog log;
    private final LongSupplier clockMillis;
    private final LongSupplier clockUnixMillis;
    private final CrashRecordRepeater repeater;
    private final RequestQuarantine quarantine = new RequestQuarantine();
    private final EndedServers endedServers = new EndedServers();
    /** Copies that wait for the result of another one, with the end of their wait. */
    private final Map<ActiveRequest, Long> heldUntilMillis = new LinkedHashMap<>();
    /** Requests that are sent again once it is known whether their last server ended, with the end of their wait. */
    private final Map<ActiveRequest, Long> repeatsUntilMillis = new LinkedHashMap<>();

    private final Set<ActiveRequest> inTest = new LinkedHashSet<>();
    private final Map<RequestFingerprint, ActiveRequest> reserving = new HashMap<>();

    CrashGuard(
            RequestEngine engine,
            RequestRetries retries,
            ServerTester tester,
            CrashRecordLink link,
            EventLog events,
            LongSupplier clockMillis,
            LongSupplier clockUnixMillis) {
        this.engine = engine;
        this.retries = retries;
        this.tester = tester;
        this.link = link;
        this.log = new QuarantineLog(events, quarantine, clockUnixMillis);
        this.clockMillis = clockMillis;
        this.clockUnixMillis = clockUnixMillis;
        this.repeater = new CrashRecordRepeater(quarantine, link);
    }

    /** Returns whether a request may be dispatched now; otherwise it has been refused, or waits here. */
    boolean admit(ActiveRequest request) {
        if (request.onTrial || !quarantine.mayKnow(request.callerRequest.target())) {
            return true;
        }
        RequestFingerprint fingerprint = RequestFingerprints.of(request);
        QuarantineDecision decision = quarantine.decide(fingerprint, clockUnixMillis.getAsLong());
        return switch (decision) {
            case SEND -> true;
            case TRY -> {
                beginTrial(request);
                yield true;
            }
            case WAIT -> {
                hold(request);
                yield false;
            }
            case RESERVE_TRIAL -> {
                reserveTrial(request);
                yield false;
            }
            case REJECT -> {
                reject(request);
                yield false;
            }
        };
    }

    /** Returns whether requests with a target may be held or refused, since servers ended under some with it. */
    boolean mayWithhold(String target) {
        return quarantine.mayKnow(target);
    }

    private void beginTrial(ActiveRequest request) {
        request.onTrial = true;
        long endsUnixMillis = clockUnixMillis.getAsLong() + request.deadlineMillis - clockMillis.getAsLong();
        quarantine.beginTrial(RequestFingerprints.of(request), endsUnixMillis).ifPresent(changed -> {
            log.write("quarantine.trial-began", changed, request.requestId);
            link.publish(changed);
        });
    }

    private void hold(ActiveRequest request) {
        long nowMillis = clockMillis.getAsLong();
        long waitMillis = Math.min(MAX_HOLD_MILLIS, (request.deadlineMillis - nowMillis) / HOLD_DIVISOR);
        heldUntilMillis.putIfAbsent(request, nowMillis + waitMillis);
    }

    private void reserveTrial(ActiveRequest request) {
        RequestFingerprint fingerprint = RequestFingerprints.of(request);
        if (reserving.containsKey(fingerprint)) {
            reject(request);
            return;
        }
        long nowUnixMillis = clockUnixMillis.getAsLong();
        long endsUnixMillis = nowUnixMillis + request.deadlineMillis - clockMillis.getAsLong();
        reserving.put(fingerprint, request);
        quarantine.reservedTrial(fingerprint, endsUnixMillis, nowUnixMillis).ifPresent(link::reserveTrial);
    }

    /**
     * Sends the request for which a trial was to be reserved, or refuses it unless it has been acquitted meanwhile.
     *
     * @param reserved whether the store recorded the trial, so that no other entry VM makes it
     */
    void onTrialReserved(CrashRecord withTrial, boolean reserved) {
        ActiveRequest request = reserving.remove(withTrial.fingerprint());
        boolean acquitted = quarantine.find(withTrial.fingerprint()).isEmpty();
        if (reserved && acquitted) {
            link.publishCleared(withTrial);
        } else if (reserved) {
            quarantine.merge(withTrial, clockUnixMillis.getAsLong());
            link.publish(withTrial);
            log.write("quarantine.trial-reserved", withTrial, request == null ? null : request.requestId);
        }
        if (request == null || request.finished) {
            return;
        }
        request.onTrial = reserved && !acquitted;
        if (reserved || acquitted) {
            engine.dispatch(request);
        } else {
            reject(request);
        }
    }

    private void reject(ActiveRequest request) {
        heldUntilMillis.remove(request);
        CrashRecord known = quarantine.find(RequestFingerprints.of(request)).orElseThrow();
        long untilTrialMillis = known.nextTrialUnixMillis() - clockUnixMillis.getAsLong();
        retries.refuseQuarantined(
                request,
                Math.max(HELD_RETRY_AFTER_MILLIS, Math.min(untilTrialMillis, MAX_RETRY_AFTER_MILLIS)),
                "request " + known.fingerprint() + " ended servers " + known.endedServers() + ", the last one "
                        + (clockUnixMillis.getAsLong() - known.lastCrashUnixMillis()) + " ms ago");
    }

    /** Returns whether a request that was admitted earlier may still be sent. */
    boolean maySend(ActiveRequest request) {
        return request.onTrial
                || !quarantine.mayKnow(request.callerRequest.target())
                || quarantine.decide(RequestFingerprints.of(request), clockUnixMillis.getAsLong())
                        == QuarantineDecision.SEND;
    }

    /** Records what is known of a request as it is sent. */
    void onSent(ActiveRequest request, ActiveRequest.Attempt attempt) {
        attempt.knownCrashRounds = quarantine.mayKnow(request.callerRequest.target())
                ? quarantine.roundsOf(RequestFingerprints.of(request), clockUnixMillis.getAsLong())
                : 0;
    }

    /** Tests whether the server of a broken attempt has ended. */
    void onBroken(ActiveRequest request, ActiveRequest.Attempt attempt) {
        inTest.add(request);
        tester.test(attempt.decision.server(), ended -> {
            inTest.remove(request);
            if (ended) {
                onServerEnded(request, attempt);
            }
            if (repeatsUntilMillis.remove(request) != null) {
                engine.submit(request);
            } else if (request.finished) {
                endTrial(request);
            }
        });
    }

    private void onServerEnded(ActiveRequest request, ActiveRequest.Attempt attempt) {
        ServerStart server = attempt.decision.server().start();
        endedServers.onEndedHere(server, clockMillis.getAsLong());
        request.onTrial = false;
        long nowUnixMillis = clockUnixMillis.getAsLong();
        String target = request.callerRequest.target();
        CrashRecord first = new CrashRecord(
                RequestFingerprints.of(request),
                RequestFingerprints.describe(request),
                target.hashCode(),
                Set.of(),
                0,
                0,
                0,
                0,
                nowUnixMillis);
        CrashRecord changed = quarantine.onCrash(first, server, attempt.knownCrashRounds + 1, nowUnixMillis);
        log.write("quarantine.server-ended", changed, request.requestId);
        link.publish(changed);
        repeater.onCrash(changed, clockMillis.getAsLong());
        reconsiderHeld();
    }

    /** Lets a request that is to be sent again wait for the test of its last server; returns whether there is one. */
    boolean awaitsTest(ActiveRequest request) {
        if (!inTest.contains(request)) {
            return false;
        }
        repeatsUntilMillis.put(request, clockMillis.getAsLong() + MAX_TEST_MILLIS);
        return true;
    }

    /** Returns whether a request waits here to be sent, again or for the first time. */
    boolean isWaiting(ActiveRequest request) {
        return repeatsUntilMillis.containsKey(request)
                || heldUntilMillis.containsKey(request)
                || reserving.containsValue(request);
    }

    /** Acquits a request that a server has answered, and the server of having ended. */
    void onResponse(ActiveRequest request, ServerStart server, AttemptResult result) {
        if (endedServers.onAnswer(server, clockMillis.getAsLong())) {
            quarantine.onServerRunning(server);
            log.writeServerRuns(server);
        }
        boolean ran = result == AttemptResult.ANSWERED || result == AttemptResult.SERVER_FAILED;
        if (!ran || !quarantine.mayKnow(request.callerRequest.target())) {
            return;
        }
        request.onTrial = false;
        quarantine.clear(RequestFingerprints.of(request)).ifPresent(last -> {
            log.write("quarantine.answered", last, request.requestId);
            publishCleared(last);
            reconsiderHeld();
        });
    }

    private void publishCleared(CrashRecord last) {
        link.publishCleared(last);
        repeater.onCleared(last, clockMillis.getAsLong());
    }

    /** Ends what was under way for a request that is finished. */
    void onFinished(ActiveRequest request) {
        heldUntilMillis.remove(request);
        repeatsUntilMillis.remove(request);
        if (!inTest.contains(request)) {
            endTrial(request);
        }
    }

    /** Ends the trial of a request, if it is one, without a result; another copy may be tried then, at any entry VM. */
    void endTrial(ActiveRequest request) {
        if (!request.onTrial) {
            return;
        }
        request.onTrial = false;
        quarantine.endTrial(RequestFingerprints.of(request)).ifPresent(changed -> {
            log.write("quarantine.trial-ended", changed, request.requestId);
            link.publish(changed);
            reconsiderHeld();
        });
    }

    /** Applies what another entry VM knows. */
    void onRecord(CrashRecord known) {
        if (quarantine.merge(known, clockUnixMillis.getAsLong())) {
            onMerged(known);
        }
        publishIfWeaker(known);
    }

    /** Applies what the store holds; deletes a record that was stored after the request had been acquitted. */
    void onStoredRecord(CrashRecord known) {
        if (quarantine.isAcquitted(known)) {
            if (endedServers.isAnyEndedHere(known.endedServers())) {
                link.publishCleared(known);
            }
            return;
        }
        if (quarantine.mergeStored(known, clockUnixMillis.getAsLong())) {
            onMerged(known);
        }
        publishIfWeaker(known);
    }

    /** Publishes the union of another VM's record and this one's own, since the store keeps the newest record only. */
    private void publishIfWeaker(CrashRecord other) {
        quarantine
                .find(other.fingerprint())
                .filter(known -> known.isStricterThan(other))
                .filter(known -> endedServers.isAnyEndedHere(known.endedServers()))
                .ifPresent(link::publish);
    }

    private void onMerged(CrashRecord known) {
        long nowMillis = clockMillis.getAsLong();
        known.endedServers().forEach(server -> endedServers.onEnded(server, nowMillis));
        log.writeLearnt("quarantine.learnt", known);
        reconsiderHeld();
    }

    /** Acquits a request that was answered elsewhere, or whose rejection an operator lifted. */
    void onAcquitted(CrashRecord last) {
        quarantine.acquit(last).ifPresent(this::onForgotten);
    }

    /** Forgets a request whose record was deleted from the store. */
    void onStoredRecordDeleted(RequestFingerprint fingerprint) {
        quarantine.forget(fingerprint).ifPresent(this::onForgotten);
    }

    private void onForgotten(CrashRecord last) {
        log.writeLearnt("quarantine.cleared", last);
        reconsiderHeld();
    }

    /** Lifts the rejection of a request at all entry VMs; returns whether the request was known. */
    boolean lift(RequestFingerprint fingerprint) {
        Optional<CrashRecord> last = quarantine.clear(fingerprint);
        last.ifPresent(known -> {
            log.write("quarantine.lifted", known, null);
            publishCleared(known);
            reconsiderHeld();
        });
        return last.isPresent();
    }

    /** Returns the known requests, strongest evidence last; may be called on any thread. */
    List<CrashRecord> records() {
        return log.records();
    }

    /** Ends waits that are over, repeats messages, and renews what {@link #records} returns. */
    void tick() {
        repeater.tick(clockMillis.getAsLong());
        log.publishRecords();
        if (heldUntilMillis.isEmpty() && repeatsUntilMillis.isEmpty()) {
            return;
        }
        long nowMillis = clockMillis.getAsLong();
        for (Map.Entry<ActiveRequest, Long> repeat : List.copyOf(repeatsUntilMillis.entrySet())) {
            if (nowMillis >= repeat.getValue() && repeatsUntilMillis.remove(repeat.getKey()) != null) {
                engine.submit(repeat.getKey());
            }
        }
        reconsiderHeld();
    }

    private void reconsiderHeld() {
        long nowMillis = clockMillis.getAsLong();
        for (ActiveRequest request : new ArrayList<>(heldUntilMillis.keySet())) {
            Long untilMillis = heldUntilMillis.get(request);
            if (untilMillis == null || request.finished) {
                continue;
            }
            boolean waits = quarantine.decide(RequestFingerprints.of(request), clockUnixMillis.getAsLong())
                    == QuarantineDecision.WAIT;
            if (!waits) {
                heldUntilMillis.remove(request);
                engine.submit(request);
            } else if (nowMillis >= untilMillis) {
                heldUntilMillis.remove(request);
                retries.refuseQuarantined(
                        request, HELD_RETRY_AFTER_MILLIS, "another copy of the request, which ended servers, is tried");
            }
        }
    }
}
