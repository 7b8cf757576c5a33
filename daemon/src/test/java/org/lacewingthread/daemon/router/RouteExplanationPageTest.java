package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpServer;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.dispatch.SendGate;
import org.lacewingthread.core.explain.ViewAges;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.keyrange.KeyRange;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.reachability.RelayPeer;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.daemon.cli.ExitCode;
import org.lacewingthread.daemon.cli.Lacewingthread;
import org.lacewingthread.daemon.events.EventLog;

/** The command {@code explain route} against the page of a router's engine, over a real port. */
class RouteExplanationPageTest extends EngineFixture {
    private final NioEventLoopGroup controlGroup = new NioEventLoopGroup(1);
    private final AtomicBoolean viewsAreCurrent = new AtomicBoolean(true);
    private final AtomicInteger servedRequests = new AtomicInteger();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private RouteExplanationPage page;
    private HttpServer backend;
    private String address;

    @BeforeEach
    void openPage() throws Exception {
        EventLog events = new EventLog("vm-1", new ByteArrayOutputStream(), () -> 0);
        RouteExplainer explainer = new RouteExplainer(
                engine,
                dispatcher,
                new SendGate(viewsAreCurrent::get, () -> true),
                () -> new ViewAges(OptionalLong.of(640), OptionalLong.empty()),
                nowMillis::get,
                () -> false);
        page = new RouteExplanationPage(explainer, eventLoop, events);
        InetSocketAddress bound =
                (InetSocketAddress) new StatusListener(events, (method, target) -> page.page(method, target)
                                .orElseGet(() -> CompletableFuture.completedStage(
                                        new StatusListener.Page(HttpResponseStatus.OK, "# metrics\n"))))
                        .open(controlGroup, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .localAddress();
        address = "127.0.0.1:" + bound.getPort();
        backend = startServer(exchange -> servedRequests.incrementAndGet());
    }

    @AfterEach
    void closePage() {
        controlGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void register(RangeTable table, KnownServer... servers) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        eventLoop.execute(() -> {
            engine.onTopologyChange(List.of(servers), table);
            done.countDown();
        });
        assertThat(done.await(5, TimeUnit.SECONDS)).isTrue();
    }

    private void registerOwner() throws InterruptedException {
        KnownServer owner = server("i-7", ORDERS, backend);
        register(
                RangeTable.EMPTY.withRanges(ORDERS, List.of(RangeOwnership.settled(KeyRange.ALL, owner.start()))),
                owner);
    }

    private ExitCode run(String... arguments) {
        out.reset();
        err.reset();
        List<String> all = new ArrayList<>(List.of("explain", "route", "--vm", address));
        all.addAll(Arrays.asList(arguments));
        return new Lacewingthread(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run(all.toArray(String[]::new));
    }

    private String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return err.toString(StandardCharsets.UTF_8);
    }

    /** Guards against an answer without one of the steps of the decision, and against a question that reaches a server. */
    @Test
    void keyedRequestIsExplainedFromItsRouteToItsOwner() throws Exception {
        registerOwner();
        assertThat(run("--host", "here", "--path", "/orders/17?full=1", "--key", "7"))
                .isEqualTo(ExitCode.OK);
        assertThat(out())
                .isEqualTo(
                        """
                        GET here/orders/17?full=1, key 7
                        decision: sent to i-7@1, response expected in 100 ms
                        configuration: version 1
                        route: orders, host here, path /orders/, timeout 5000 ms, target 2000 ms, priority 0, \
                        up to 2 attempts, at_most_once
                        split: orders 1.0 (takes this one)
                        service: orders, each key has one owner
                        owner: i-7@1, keys 0 to 65535
                        known here: registry 640 ms old
                        servers: 1
                          i-7@1 in maras: has room; 2 slots, 0 requests from here, 0.0 from others (no report); \
                        100 ms a request, now 100 ms; response in 100 ms
                        """);
        assertThat(servedRequests).hasValue(0);
        assertThat(engine.connectionsOpened()).isZero();
    }

    /** Guards against JSON that scripts can't read, or that leaves out the status and the Retry-After. */
    @Test
    void refusalIsExplainedAsJsonWithItsStatusAndRetryAfter() throws Exception {
        register(RangeTable.EMPTY, server("i-8", DESK, backend).evacuatedUntil(20_000));
        assertThat(run("--host", "here", "--path", "/desk/1", "--json")).isEqualTo(ExitCode.OK);
        JsonNode json = new ObjectMapper().readTree(out());
        assertThat(json.at("/outcome").asText()).isEqualTo("REFUSE");
        assertThat(json.at("/cause").asText()).isEqualTo("EVACUATED");
        assertThat(json.at("/refusal/status").asInt()).isEqualTo(503);
        assertThat(json.at("/refusal/retry_after_ms").asInt()).isEqualTo(300);
        assertThat(json.at("/candidates/0/state").asText()).isEqualTo("EVACUATED");
        assertThat(json.at("/ages/registry_ms").asInt()).isEqualTo(640);
    }

    /** Guards against an answer from a view that is too old without a word about it. */
    @Test
    void viewThatIsTooOldIsToldWithItsAge() throws Exception {
        registerOwner();
        viewsAreCurrent.set(false);
        run("--host", "here", "--path", "/orders/17", "--key", "7");
        assertThat(out())
                .contains(
                        "waits for i-7@1 behind 0 others; refused with 503, code 3005 (REGISTRY_OUTDATED)",
                        "known here: registry 640 ms old",
                        "view too old");
    }

    /** Guards against "refused" for a request that another VM takes over, and the reverse without such a VM. */
    @Test
    void requestOfACutOffVmIsRelayedIfAnotherVmReachesServers() throws Exception {
        registerOwner();
        eventLoop
                .submit(() -> dispatcher.onCutOffChanged(true, nowMillis.get()))
                .sync();
        run("--host", "here", "--path", "/orders/17", "--key", "7");
        assertThat(out()).contains("decision: refused with 503, code 3011 (CUT_OFF), Retry-After about 0.300 s");
        RelayPeer peer = new RelayPeer(new VmId("vm-2"), HERE, "127.0.0.1", 1);
        eventLoop.submit(() -> engine.relays().setPeers(List.of(peer))).sync();
        run("--host", "here", "--path", "/orders/17", "--key", "7", "--json");
        assertThat(new ObjectMapper().readTree(out()).at("/outcome").asText()).isEqualTo("RELAY");
    }

    /** Guards against a success code, or an unexplained one, for a request that can't be routed. */
    @Test
    void missingRouteAndMissingKeyAreAnswersWithTheirStatus() {
        assertThat(run("--host", "there", "--path", "/x")).isEqualTo(ExitCode.OK);
        assertThat(out())
                .contains("decision: refused with 404, code 2010 (no route for host \"there\" and path \"/x\")");
        run("--host", "here", "--path", "/orders/1");
        assertThat(out()).contains("refused with 400, code 2012 (the request has no key, which service \"orders\"");
    }

    /** Guards against errors that don't say what is wrong with the input, and against other exit codes than documented. */
    @Test
    void incompleteQuestionsAreUsageErrorsThatQuoteTheInput() {
        assertThat(run("--path", "/orders/1")).isEqualTo(ExitCode.USAGE);
        assertThat(err())
                .isEqualTo("host \"\" is empty or missing in \"path=/orders/1\"; give the host name that the caller "
                        + "uses\n");
        assertThat(run("--host", "here", "--path", "/", "--deadline-ms", "soon"))
                .isEqualTo(ExitCode.USAGE);
        assertThat(err()).startsWith("deadline \"soon\" is not a number of milliseconds");
        StatusListener.Page unknown = answer("/explain/route?host=here&path=/&hots=x");
        assertThat(unknown.status().code()).isEqualTo(400);
        assertThat(unknown.text()).startsWith("parameter \"hots\" is not known; use deadline_ms, format, host,");
    }

    /** Guards against a VM that can't be reached without its address in the error. */
    @Test
    void unreachableVmIsNamed() {
        address = "127.0.0.1:1";
        assertThat(run("--host", "here", "--path", "/")).isEqualTo(ExitCode.UNREACHABLE);
        assertThat(err()).startsWith("VM port \"127.0.0.1:1\" can't be read: ");
    }

    /** Guards against questions that pile up on the traffic thread. */
    @Test
    void fewQuestionsWaitForTheTrafficThread() throws InterruptedException {
        CountDownLatch busy = new CountDownLatch(1);
        eventLoop.execute(() -> {
            try {
                busy.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        String target = "/explain/route?host=here&path=/desk/1";
        List<CompletionStage<StatusListener.Page>> waiting = new ArrayList<>();
        for (int i = 0; i < RouteExplanationPage.MAX_WAITING; i++) {
            waiting.add(page.page(HttpMethod.GET, target).orElseThrow());
        }
        assertThat(answer(target).status().code()).isEqualTo(503);
        busy.countDown();
        waiting.forEach(stage ->
                assertThat(stage.toCompletableFuture().join().status().code()).isEqualTo(200));
        assertThat(answer(target).status().code()).isEqualTo(200);
    }

    private StatusListener.Page answer(String target) {
        Optional<CompletionStage<StatusListener.Page>> answer = page.page(HttpMethod.GET, target);
        return answer.orElseThrow().toCompletableFuture().join();
    }
}
