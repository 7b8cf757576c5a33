package org.lacewingthread.daemon.router;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import org.lacewingthread.daemon.events.EventLog;

/** The pages at the metrics address: metrics, requests that crash servers, and explanations of routes. */
final class OperatorPages implements BiFunction<HttpMethod, String, CompletionStage<StatusListener.Page>> {
    private final RouterMetrics metrics;
    private final QuarantinePage quarantinePage;
    private final RouteExplanationPage explanationPage;

    OperatorPages(
            RequestEngine engine,
            RouteExplainer explainer,
            EventLoop trafficEventLoop,
            RouterMetrics metrics,
            EventLog events) {
        this.metrics = metrics;
        this.quarantinePage = new QuarantinePage(
                engine.crashGuard()::records,
                fingerprint ->
                        trafficEventLoop.execute(() -> engine.crashGuard().lift(fingerprint)),
                System::currentTimeMillis);
        this.explanationPage = new RouteExplanationPage(explainer, trafficEventLoop, events);
    }

    @Override
    public CompletionStage<StatusListener.Page> apply(HttpMethod method, String target) {
        return explanationPage
                .page(method, target)
                .orElseGet(() ->
                        CompletableFuture.completedStage(quarantinePage.page(method, target, other -> metricsPage())));
    }

    private StatusListener.Page metricsPage() {
        return new StatusListener.Page(HttpResponseStatus.OK, metrics.scrape());
    }
}
