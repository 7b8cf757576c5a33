package org.lacewingthread.daemon.router;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.lacewingthread.core.dispatch.DispatchDescription;
import org.lacewingthread.core.dispatch.DispatchDescription.Outcome;
import org.lacewingthread.core.dispatch.DispatchRequest;
import org.lacewingthread.core.dispatch.RefusalCause;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.core.dispatch.SendGate;
import org.lacewingthread.core.explain.RouteExplanation;
import org.lacewingthread.core.explain.RouteQuestion;
import org.lacewingthread.core.explain.ViewAges;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.serving.Route;
import org.lacewingthread.core.serving.RouteResolution;

/** Explains where a request would go, from the state that decides about requests. Runs on the traffic thread. */
final class RouteExplainer {
    /** Above the numbers of all real requests. */
    private static final long NUMBER = Long.MAX_VALUE;

    private final RequestEngine engine;
    private final RequestDispatcher dispatcher;
    private final SendGate silentGate;
    private final Supplier<ViewAges> ages;
    private final LongSupplier clockMillis;
    private final BooleanSupplier stopping;

    /**
     * Creates an explainer.
     *
     * @param silentGate gate with the dispatcher's answers, which neither logs nor counts
     * @param ages returns the ages of the views of the servers
     * @param stopping tells whether the process stops
     */
    RouteExplainer(
            RequestEngine engine,
            RequestDispatcher dispatcher,
            SendGate silentGate,
            Supplier<ViewAges> ages,
            LongSupplier clockMillis,
            BooleanSupplier stopping) {
        this.engine = engine;
        this.dispatcher = dispatcher;
        this.silentGate = silentGate;
        this.ages = ages;
        this.clockMillis = clockMillis;
        this.stopping = stopping;
    }

    /** Explains where a request would go now. Nothing is sent, used up or counted. */
    RouteExplanation explain(RouteQuestion question) {
        RouteResolution resolution = engine.routing().preview(question.host(), question.path(), question.key());
        long nowMillis = clockMillis.getAsLong();
        Optional<DispatchRequest> request = resolution.failure().isPresent()
                ? Optional.empty()
                : Optional.of(request(question, resolution, nowMillis));
        Optional<DispatchDescription> dispatch =
                request.map(wanted -> dispatcher.describe(wanted, silentGate, nowMillis));
        boolean relayed = dispatch.filter(decided -> decided.outcome() == Outcome.REFUSE)
                .filter(decided ->
                        decided.cause().filter(RefusalCause::mayBeSentByOthers).isPresent())
                .filter(decided -> engine.relays()
                        .wouldSend(
                                decided.ownership().map(RangeOwnership::owner),
                                request.orElseThrow().deadlineMillis() - nowMillis))
                .isPresent();
        return new RouteExplanation(
                question, engine.routing().version(), resolution, dispatch, ages.get(), relayed, notes(question));
    }

    private static DispatchRequest request(RouteQuestion question, RouteResolution resolution, long nowMillis) {
        Route route = resolution.route().orElseThrow();
        Optional<Long> waitMillis = question.deadlineMillis().isPresent()
                ? Optional.of(question.deadlineMillis().getAsLong())
                : Optional.empty();
        long deadlineMillis = RequestAdmission.deadlineMillis(nowMillis, waitMillis, route);
        return new DispatchRequest(
                NUMBER,
                resolution.service().orElseThrow(),
                resolution.key(),
                route.priority(),
                route.targetAtMillis(nowMillis, deadlineMillis),
                deadlineMillis,
                Set.of());
    }

    private List<String> notes(RouteQuestion question) {
        List<String> notes = new ArrayList<>();
        if (stopping.getAsBoolean()) {
            notes.add("this VM is stopping; it soon refuses requests with 503");
        }
        if (engine.crashGuard().mayWithhold(question.path())) {
            notes.add("servers ended under requests with this path; copies of one may be held or refused with 503,"
                    + " see /quarantine");
        }
        return notes;
    }
}
