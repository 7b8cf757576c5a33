package org.lacewingthread.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.id.ServerStart;

/**
 * Keeps requests that crash servers from all servers. A request under which {@value CrashRecord#SUSPECT_SERVERS} servers
 * have ended, and which none has answered since, is sent one copy at a time; after {@value CrashRecord#REJECTED_SERVERS}
 * it is rejected, except for a few trials that lie far apart. A complete answer to any copy, at any entry VM, acquits it:
 * a request that crashes every server never gets one.
 *
 * <pre>{@code
 * switch (quarantine.decide(fingerprint, nowUnixMillis)) { ... }
 * int round = quarantine.roundsOf(fingerprint, nowUnixMillis) + 1;  // when the request is sent
 * CrashRecord changed = quarantine.onCrash(request, server, round, nowUnixMillis);
 * quarantine.merge(recordOfAnotherVm, nowUnixMillis);
 * quarantine.clear(fingerprint);                     // answered
 * quarantine.acquit(lastRecordOfAnotherVm);          // answered there
 * }</pre>
 *
 * <p>Times are milliseconds since 1970. Not safe for use by several threads.
 */
public final class RequestQuarantine {
    /** Time from the last crash to each trial of a rejected request; there are no others until an operator lifts it. */
    private static final List<Long> TRIAL_DELAYS_MILLIS = List.of(20_000L, 120_000L);

    /**
     * Servers that end within this time may have gone down together for another reason. A copy that is sent meanwhile adds no
     * round, and no trial begins.
     */
    private static final long OUTAGE_MILLIS = 200;

    private static final long NEVER_MILLIS = Long.MAX_VALUE;
    /** How long a request is remembered after the last server ended under it. */
    private static final long RETENTION_MILLIS = 24L * 3_600_000;
    /** Most requests that are remembered; those with the weakest and oldest evidence are forgotten first. */
    static final int MAX_RECORDS = 1_000;

    /** Most servers that are remembered as acquitted for one request; more than a few records name. */
    private static final int MAX_ACQUITTED_SERVERS = 64;

    private static final Comparator<CrashRecord> WEAKEST_FIRST = Comparator.comparing(CrashRecord::isRejected)
            .thenComparing(CrashRecord::isSuspect)
            .thenComparingLong(CrashRecord::lastCrashUnixMillis);

    private final Map<RequestFingerprint, CrashRecord> records = new HashMap<>();
    /** When the newest crash of each request was {@link #OUTAGE_MILLIS} ago. */
    private final Map<RequestFingerprint, Long> settledUnixMillis = new HashMap<>();

    private final Set<Integer> targetHashes = new HashSet<>();
    /** Servers that ended under requests before these were acquitted; the acquittal longest ago comes first. */
    private final Map<RequestFingerprint, Set<ServerStart>> acquittedServers = new LinkedHashMap<>();

    /** Returns whether a request with this target may be known; false for nearly all requests that are not. */
    public boolean mayKnow(String target) {
        return !records.isEmpty() && targetHashes.contains(target.hashCode());
    }

    /** Returns what is known of a request. */
    public Optional<CrashRecord> find(RequestFingerprint fingerprint) {
        return Optional.ofNullable(records.get(fingerprint));
    }

    /** Returns all records, weakest evidence first. */
    public List<CrashRecord> all() {
        return records.values().stream().sorted(WEAKEST_FIRST).toList();
    }

    /** Returns what may be done with a copy of a request now. */
    public QuarantineDecision decide(RequestFingerprint fingerprint, long nowUnixMillis) {
        CrashRecord known = records.get(fingerprint);
        if (known == null || !known.isSuspect() || isExpired(known, nowUnixMillis)) {
            return QuarantineDecision.SEND;
        }
        if (known.isRejected()) {
            boolean due = nowUnixMillis >= known.nextTrialUnixMillis() && !known.isTrialInProgress(nowUnixMillis);
            return due ? QuarantineDecision.RESERVE_TRIAL : QuarantineDecision.REJECT;
        }
        boolean waits = known.isTrialInProgress(nowUnixMillis) || !isSettled(fingerprint, nowUnixMillis);
        return waits ? QuarantineDecision.WAIT : QuarantineDecision.TRY;
    }

    private boolean isSettled(RequestFingerprint fingerprint, long nowUnixMillis) {
        long settled = settledUnixMillis.getOrDefault(fingerprint, nowUnixMillis);
        boolean clockWasSetBack = settled - nowUnixMillis > OUTAGE_MILLIS;
        return nowUnixMillis >= settled || clockWasSetBack;
    }

    /** Returns how many crashes in a row precede a copy of a request that is sent now; 0 if none. */
    public int roundsOf(RequestFingerprint fingerprint, long nowUnixMillis) {
        int rounds = find(fingerprint).map(CrashRecord::rounds).orElse(0);
        return isSettled(fingerprint, nowUnixMillis) ? rounds : Math.max(0, rounds - 1);
    }

    /**
     * Records that a server ended under a request.
     *
     * @param first record to begin with if the request is not known yet
     * @param server the server
     * @param round one more than the crashes in a row that were known when the request was sent
     * @return the changed record, for the other entry VMs
     */
    public CrashRecord onCrash(CrashRecord first, ServerStart server, int round, long nowUnixMillis) {
        CrashRecord before = records.getOrDefault(first.fingerprint(), first);
        CrashRecord known = isExpired(before, nowUnixMillis) ? first : before;
        settledUnixMillis.put(first.fingerprint(), nowUnixMillis + OUTAGE_MILLIS);
        // Crashes that were known when the copy was sent may have been acquitted since.
        int countedRound = Math.min(round, known.rounds() + 1);
        return put(known.withCrash(server, countedRound, nextTrialAt(known.trials(), nowUnixMillis), nowUnixMillis));
    }

    private static long nextTrialAt(int trials, long nowUnixMillis) {
        return trials < TRIAL_DELAYS_MILLIS.size() ? nowUnixMillis + TRIAL_DELAYS_MILLIS.get(trials) : NEVER_MILLIS;
    }

    private static boolean isExpired(CrashRecord known, long nowUnixMillis) {
        return nowUnixMillis - known.lastCrashUnixMillis() > RETENTION_MILLIS;
    }

    /** Records that the only copy of a request is being sent; returns the changed record, for the other entry VMs. */
    public Optional<CrashRecord> beginTrial(RequestFingerprint fingerprint, long endsUnixMillis) {
        return find(fingerprint).map(known -> put(known.withTrial(endsUnixMillis)));
    }

    /** Records that a trial ended without a result; returns the changed record, for the other entry VMs. */
    public Optional<CrashRecord> endTrial(RequestFingerprint fingerprint) {
        return find(fingerprint).map(known -> put(known.withTrial(0)));
    }

    /** Returns the record that reserves a trial of a rejected request; {@link #merge} it once it has been recorded. */
    public Optional<CrashRecord> reservedTrial(
            RequestFingerprint fingerprint, long endsUnixMillis, long nowUnixMillis) {
        return find(fingerprint)
                .map(known -> known.withReservedTrial(endsUnixMillis, nextTrialAt(known.trials() + 1, nowUnixMillis)));
    }

    /** Adds what another entry VM knows, except for crashes before an acquittal; returns whether that changed anything. */
    public boolean merge(CrashRecord received, long nowUnixMillis) {
        if (isAcquitted(received)) {
            return false;
        }
        CrashRecord other = received.withoutServers(acquittedServers.getOrDefault(received.fingerprint(), Set.of()));
        CrashRecord known = records.get(other.fingerprint());
        CrashRecord merged = known == null ? other : known.merge(other);
        if (merged.equals(known)) {
            return false;
        }
        if (known == null || !known.endedServers().containsAll(other.endedServers())) {
            settledUnixMillis.put(other.fingerprint(), nowUnixMillis + OUTAGE_MILLIS);
        }
        put(merged);
        return true;
    }

    /** Adds what the store holds, which is older than the trials that are known here. */
    public boolean mergeStored(CrashRecord stored, long nowUnixMillis) {
        long trialEnds =
                find(stored.fingerprint()).map(CrashRecord::trialEndsUnixMillis).orElse(0L);
        return merge(stored.withTrial(trialEnds), nowUnixMillis);
    }

    /**
     * Acquits a request, since a server answered it or an operator lifted its rejection. The servers that ended under it no
     * longer count, whoever names them later.
     *
     * @return what was known, for the other entry VMs
     */
    public Optional<CrashRecord> clear(RequestFingerprint fingerprint) {
        Optional<CrashRecord> last = forget(fingerprint);
        last.ifPresent(this::addAcquittedServers);
        return last;
    }

    /**
     * Acquits a request of the crashes that were known where it was answered, at another entry VM; others may be newer.
     *
     * @param last what was known there
     * @return what was known here
     */
    public Optional<CrashRecord> acquit(CrashRecord last) {
        addAcquittedServers(last);
        Optional<CrashRecord> known = find(last.fingerprint());
        known.ifPresent(record -> putOrForget(record.withoutServers(last.endedServers())));
        return known;
    }

    private void addAcquittedServers(CrashRecord last) {
        Set<ServerStart> servers =
                Optional.ofNullable(acquittedServers.remove(last.fingerprint())).orElseGet(LinkedHashSet::new);
        servers.removeAll(last.endedServers());
        servers.addAll(last.endedServers());
        removeOldest(servers, MAX_ACQUITTED_SERVERS);
        acquittedServers.put(last.fingerprint(), servers);
        removeOldest(acquittedServers.keySet(), MAX_RECORDS);
    }

    private static void removeOldest(Set<?> oldestFirst, int maxSize) {
        Iterator<?> oldest = oldestFirst.iterator();
        while (oldestFirst.size() > maxSize) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns whether a request has been acquitted since all the servers ended that a record names. */
    public boolean isAcquitted(CrashRecord other) {
        return acquittedServers.getOrDefault(other.fingerprint(), Set.of()).containsAll(other.endedServers());
    }

    /** Forgets a request without acquitting it; returns what was known. */
    public Optional<CrashRecord> forget(RequestFingerprint fingerprint) {
        Optional<CrashRecord> removed = Optional.ofNullable(records.remove(fingerprint));
        if (removed.isPresent()) {
            forgetRemoved();
        }
        return removed;
    }

    /** Takes a server out of all evidence, since it is still running. */
    public void onServerRunning(ServerStart server) {
        for (CrashRecord known : List.copyOf(records.values())) {
            if (known.endedServers().contains(server)) {
                putOrForget(known.withoutServers(Set.of(server)));
            }
        }
    }

    private void putOrForget(CrashRecord changed) {
        if (changed.endedServers().isEmpty()) {
            forget(changed.fingerprint());
        } else {
            put(changed);
        }
    }

    private CrashRecord put(CrashRecord changed) {
        records.put(changed.fingerprint(), changed);
        targetHashes.add(changed.targetHash());
        if (records.size() > MAX_RECORDS) {
            List<CrashRecord> weakestFirst = new ArrayList<>(all());
            weakestFirst.subList(0, MAX_RECORDS / 10).forEach(weak -> records.remove(weak.fingerprint()));
            forgetRemoved();
        }
        return changed;
    }

    private void forgetRemoved() {
        settledUnixMillis.keySet().retainAll(records.keySet());
        targetHashes.clear();
        records.values().forEach(known -> targetHashes.add(known.targetHash()));
    }
}
