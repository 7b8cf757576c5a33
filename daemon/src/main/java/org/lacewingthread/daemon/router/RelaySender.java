package org.lacewingthread.daemon.router;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.memory.MemoryAccount;
import org.lacewingthread.core.reachability.RelayPeer;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RelayedRequest;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.http.FullResponse;

/**
 * Hands requests whose server this VM can't reach to entry VMs that can. What was handed over counts as sent: only the
 * other VM's own answer that the request was not run makes it so. All methods run on the traffic thread.
 */
final class RelaySender implements RelayAttempt.Listener {
    /** Entry VMs that a request is handed to, one after the other; further ones would only delay the refusal. */
    private static final int MAX_PEERS_PER_REQUEST = 2;
    /** How long a VM is left out that reaches no server or can't be reached; about two reports to the leader. */
    private static final long PEER_EXCLUSION_MILLIS = 1_000;
    /** How long a server is not asked for through others after one of them could not reach it either. */
    private static final long SERVER_EXCLUSION_MILLIS = 1_000;
    /** The other VM's answer must be back before this VM's own deadline. */
    private static final long RESPONSE_MARGIN_MILLIS = 5;
    /** Attempts left from which on this VM keeps one; the other VM then still has two. */
    private static final int MIN_ATTEMPTS_TO_KEEP_ONE = 3;
    /** Largest body that is relayed; half of what may wait in a link's socket. */
    private static final int MAX_BODY_BYTES = 2 << 20;
    /** Peers to choose from; enough to spread requests, and few enough to leave out those that reach servers badly. */
    private static final int MAX_CHOICES = 3;
    /** A VM of another data centre is chosen if those of the own one have this many more requests under way. */
    private static final int OTHER_DATA_CENTRE_PENALTY = 4;

    private final Access access;
    private final RequestDispatcher dispatcher;
    private final RequestEngine engine;
    private final FinalSendCheck finalCheck;
    private final RequestRetries retries;
    private final ResponseSender responder;
    private final EventLog events;
    private final LongSupplier clockMillis;
    private final Map<RelayPeer, Integer> pendingByPeer = new HashMap<>();
    private final Map<RelayPeer, Long> excludedUntilMillis = new HashMap<>();
    private final Map<ServerStart, Long> unreachableUntilMillis = new HashMap<>();
    private final Map<RelayAttempt, ActiveRequest> requests = new HashMap<>();
    private List<RelayPeer> peers = List.of();
    private MemoryAccount account = new MemoryAccount(Long.MAX_VALUE);

    /** Carries requests to other entry VMs. */
    interface Transport {
        /** Sends a request; returns what cancels it. */
        RequestHandler.Cancellation send(RelayPeer peer, RelayedRequest request, ResponseSink sink);
    }

    /**
     * The way to other entry VMs.
     *
     * @param dataCentre data centre of this VM
     * @param transport carries requests to other VMs
     * @param random seeded source of the choice among equal VMs
     */
    record Access(DataCentreId dataCentre, Transport transport, RandomGenerator random) {}

    RelaySender(
            Access access,
            RequestDispatcher dispatcher,
            RequestEngine engine,
            FinalSendCheck finalCheck,
            RequestRetries retries,
            ResponseSender responder,
            EventLog events,
            LongSupplier clockMillis) {
        this.access = access;
        this.dispatcher = dispatcher;
        this.engine = engine;
        this.finalCheck = finalCheck;
        this.retries = retries;
        this.responder = responder;
        this.events = events;
        this.clockMillis = clockMillis;
    }

    /** Counts the responses to later requests in the account of the process. */
    void countIn(MemoryAccount processAccount) {
        account = processAccount;
    }

    /** Sets the entry VMs that reach servers. */
    void setPeers(List<RelayPeer> reachingServers) {
        peers = List.copyOf(reachingServers);
        excludedUntilMillis.keySet().retainAll(peers);
        pendingByPeer.keySet().removeIf(peer -> !peers.contains(peer) && pendingByPeer.get(peer) == 0);
    }

    /** Returns whether some entry VM may take requests now. */
    boolean hasPeer() {
        return choosePeer(Set.of(), clockMillis.getAsLong()).isPresent();
    }

    /**
     * Returns whether a new request would be handed to another entry VM.
     *
     * @param owner owner of the request's key
     * @param leftMillis time until its deadline
     */
    boolean wouldSend(Optional<ServerStart> owner, long leftMillis) {
        long nowMillis = clockMillis.getAsLong();
        boolean ownerUnreachable = owner.map(unreachableUntilMillis::get)
                .filter(until -> until > nowMillis)
                .isPresent();
        return !ownerUnreachable
                && leftMillis > 2 * RESPONSE_MARGIN_MILLIS
                && choices(Set.of(), nowMillis).findAny().isPresent();
    }

    /**
     * Hands a request to another entry VM, or ends it if its caller has left or its time is over.
     *
     * @return false if it has to be refused here
     */
    boolean trySend(ActiveRequest request) {
        long nowMillis = clockMillis.getAsLong();
        boolean mayRelay = request.relayedBy.isEmpty()
                && !request.isRelayPending()
                && request.relayedTo.size() < MAX_PEERS_PER_REQUEST
                && request.attemptsLeft() > 0
                && request.deadlineMillis - nowMillis > 2 * RESPONSE_MARGIN_MILLIS
                && request.callerRequest.body().readableBytes() <= MAX_BODY_BYTES;
        if (!mayRelay || isUnreachableForPeers(request, nowMillis)) {
            return false;
        }
        Optional<RelayPeer> peer = choosePeer(request.relayedTo, nowMillis);
        peer.ifPresent(chosen -> finalCheck.tryClear(request).ifPresent(cleared -> send(request, chosen, cleared)));
        return peer.isPresent();
    }

    private boolean isUnreachableForPeers(ActiveRequest request, long nowMillis) {
        unreachableUntilMillis.values().removeIf(until -> until <= nowMillis);
        return dispatcher
                .ownerOf(request.toDispatchRequest())
                .filter(unreachableUntilMillis::containsKey)
                .isPresent();
    }

    /** Chooses among the first peers, which the leader names in the order of how well they reach servers. */
    private Optional<RelayPeer> choosePeer(Set<RelayPeer> tried, long nowMillis) {
        return choices(tried, nowMillis).min(Comparator.comparingDouble(this::cost));
    }

    private Stream<RelayPeer> choices(Set<RelayPeer> tried, long nowMillis) {
        return peers.stream()
                .filter(peer -> !tried.contains(peer))
                .filter(peer -> excludedUntilMillis.getOrDefault(peer, Long.MIN_VALUE) <= nowMillis)
                .limit(MAX_CHOICES);
    }

    /** Requests under way, plus what makes a VM of another data centre the second choice; random among equals. */
    private double cost(RelayPeer peer) {
        int penalty = peer.dataCentre().equals(access.dataCentre()) ? 0 : OTHER_DATA_CENTRE_PENALTY;
        return pendingByPeer.getOrDefault(peer, 0) + penalty + access.random().nextDouble();
    }

    private void send(ActiveRequest request, RelayPeer peer, FinalSendCheck.Clearance clearance) {
        engine.crashGuard().endTrial(request);
        RelayAttempt attempt = new RelayAttempt(peer, clockMillis.getAsLong(), account, clockMillis, this);
        requests.put(attempt, request);
        request.startRelayAttempt(attempt);
        request.relayedTo.add(peer);
        pendingByPeer.merge(peer, 1, Integer::sum);
        events.write(
                "request.relayed",
                "request",
                request.requestId,
                "to",
                peer.vm(),
                "peers",
                peers.size(),
                "left_ms",
                clearance.leftMillis());
        RelayedRequest relayed = toRelayedRequest(request, clearance);
        request.sentAttempts++;
        request.handedOverAttempts += relayed.maxAttempts() - 1;
        attempt.setHandedOverAttempts(relayed.maxAttempts());
        attempt.setCancellation(access.transport().send(peer, relayed, attempt));
    }

    /** Keeps one attempt for the case that the other VM is lost, unless it then could send the request to one server only. */
    private static int attemptsToHandOver(ActiveRequest request) {
        boolean keepsOne = request.attemptsLeft() >= MIN_ATTEMPTS_TO_KEEP_ONE
                && request.route.repeatability().maySendAgain(true);
        return request.attemptsLeft() - (keepsOne ? 1 : 0);
    }

    private RelayedRequest toRelayedRequest(ActiveRequest request, FinalSendCheck.Clearance clearance) {
        HttpHeaders endToEnd = new DefaultHttpHeaders();
        RequestHeaders.copyEndToEnd(request.callerRequest.headers(), endToEnd);
        List<HeaderField> headers = new ArrayList<>();
        endToEnd.forEach(header -> headers.add(new HeaderField(header.getKey(), header.getValue())));
        Set<ServerId> avoided = new HashSet<>(request.triedServers);
        return new RelayedRequest(
                request.requestId,
                request.service,
                request.key,
                request.route.name(),
                request.route.repeatability(),
                request.route.priority(),
                attemptsToHandOver(request),
                clearance.deadlineMillis() - RESPONSE_MARGIN_MILLIS,
                request.toDispatchRequest().targetAtMillis(),
                request.route.targetLatencyMillis(),
                request.callerRequest.method(),
                request.callerRequest.target(),
                headers,
                ByteBufUtil.getBytes(request.callerRequest.body()),
                avoided);
    }

    /** Cancels the attempt of a request that is no longer wanted, if one is under way. */
    void cancel(ActiveRequest request) {
        request.relayAttempt.filter(attempt -> !attempt.isEnded()).ifPresent(attempt -> {
            attempt.cancel();
            takeEnded(attempt);
        });
    }

    private Optional<ActiveRequest> takeEnded(RelayAttempt attempt) {
        pendingByPeer.computeIfPresent(attempt.peer(), (peer, pending) -> Math.max(0, pending - 1));
        return Optional.ofNullable(requests.remove(attempt));
    }

    @Override
    public void onResponse(RelayAttempt attempt, FullResponse response) {
        takeEnded(attempt).filter(request -> !request.finished).ifPresent(request -> {
            addToSummary(request, attempt, Integer.toString(response.status()));
            attempt.server().ifPresent(server -> engine.onRelayedResponse(server, response));
            engine.finish(request);
            responder.forwardResponse(request, response);
        });
    }

    private static void addToSummary(ActiveRequest request, RelayAttempt attempt, String result) {
        request.attemptSummary
                .append(" via ")
                .append(attempt.peer().vm())
                .append(':')
                .append(result);
    }

    @Override
    public void onFailure(RelayAttempt attempt, Failure failure) {
        Optional<ActiveRequest> failed = takeEnded(attempt);
        boolean peerFailed =
                failure.code() == ResultCode.RELAY_UNREACHABLE || failure.code() == ResultCode.SERVERS_UNREACHABLE;
        long nowMillis = clockMillis.getAsLong();
        if (peerFailed || failure.code() == ResultCode.RELAY_LOST) {
            excludedUntilMillis.put(attempt.peer(), nowMillis + PEER_EXCLUSION_MILLIS);
        }
        failed.filter(request -> !request.finished).ifPresent(request -> {
            addToSummary(request, attempt, Integer.toString(failure.code().number()));
            boolean ownerUnreachable = failure.code() == ResultCode.OWNER_UNREACHABLE;
            boolean mayAskAnother = ownerUnreachable && request.relayedTo.size() < MAX_PEERS_PER_REQUEST;
            if (ownerUnreachable && !mayAskAnother) {
                dispatcher
                        .ownerOf(request.toDispatchRequest())
                        .ifPresent(owner -> unreachableUntilMillis.put(owner, nowMillis + SERVER_EXCLUSION_MILLIS));
            }
            boolean outcomeUnknown = failure.code().knowledge() == ResultCode.Knowledge.OUTCOME_UNKNOWN;
            if (outcomeUnknown && request.isAwaited()) {
                return;
            }
            if (outcomeUnknown) {
                retries.retryOrFail(
                        request, failure.code(), "relayed to " + attempt.peer().vm() + ": " + failure.detail());
            } else if (peerFailed || mayAskAnother) {
                request.sentAttempts--;
                request.handedOverAttempts -= attempt.handedOverAttempts() - 1;
                engine.submit(request);
            } else {
                retries.refuseRelayed(request, failure);
            }
        });
    }
}
