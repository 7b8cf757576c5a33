package org.lacewingthread.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Stand-in for the platform's list of VMs as specified in docs/PROTOCOL.md.
 *
 * <pre>{@code
 * try (VmListStandIn vms = new VmListStandIn(0)) {
 *     vms.setListing(new VmListStandIn.Listing(List.of("maras-1"), List.of("maras-2")));
 *     vms.setFaults(new VmListFaults(false, false, 0, 5_000));
 * }
 * }</pre>
 *
 * <p>Over HTTP, {@code PUT /.standin/vms} replaces the listing and {@code PUT /.standin/faults} replaces
 * the faults.
 */
public final class VmListStandIn implements AutoCloseable {
    private static final int MAX_PAST_LISTINGS = 1_000;

    private final LongSupplier nanoClock;
    private final StandInServer server;
    private final Deque<DatedListing> listings = new ArrayDeque<>();
    private VmListFaults faults = VmListFaults.NONE;

    /**
     * Content of the list at one time.
     *
     * @param live names of the VMs listed as live
     * @param leaving names of the VMs listed as about to leave
     */
    public record Listing(List<String> live, List<String> leaving) {
        /** Copies the lists; a missing one is empty. */
        public Listing {
            live = live == null ? List.of() : List.copyOf(live);
            leaving = leaving == null ? List.of() : List.copyOf(leaving);
        }
    }

    private record DatedListing(Listing listing, long sinceMillis) {}

    /**
     * Starts a list with no VMs and the system's monotonic clock.
     *
     * @param port port on the loopback address, or 0 for any free one
     */
    public VmListStandIn(int port) throws IOException {
        this(port, System::nanoTime);
    }

    /**
     * Starts a list with no VMs.
     *
     * @param port port on the loopback address, or 0 for any free one
     * @param nanoClock clock for the age of listings, in nanoseconds
     */
    public VmListStandIn(int port, LongSupplier nanoClock) throws IOException {
        this.nanoClock = nanoClock;
        listings.add(new DatedListing(new Listing(List.of(), List.of()), nowMillis()));
        this.server = new StandInServer("VM list stand-in", this::handle);
        server.listen(port);
    }

    /** Returns the base URI. */
    public URI uri() {
        return server.uri();
    }

    /** Returns the current faults. */
    public synchronized VmListFaults faults() {
        return faults;
    }

    /** Replaces all faults. */
    public synchronized void setFaults(VmListFaults value) {
        faults = value;
    }

    /** Replaces the listing; readers see it after the configured lag. */
    public synchronized void setListing(Listing listing) {
        listings.addLast(new DatedListing(listing, nowMillis()));
        if (listings.size() > MAX_PAST_LISTINGS) {
            listings.removeFirst();
        }
    }

    /** Returns the listing that readers see: the newest that is as old as the lag, else the oldest kept. */
    public synchronized Listing visibleListing() {
        long asOfMillis = nowMillis() - faults.lagMillis();
        Listing visible = listings.getFirst().listing();
        for (DatedListing dated : listings) {
            if (dated.sinceMillis() <= asOfMillis) {
                visible = dated.listing();
            }
        }
        return visible;
    }

    private void handle(HttpServerExchange exchange) {
        if (FaultsEndpoint.handles(exchange)) {
            FaultsEndpoint.handle(exchange, VmListFaults.class, this::setFaults, this::faults);
            return;
        }
        String path = exchange.getRequestPath();
        if (path.equals("/.standin/vms") && exchange.getRequestMethod().equals(Methods.PUT)) {
            HttpExchanges.readBody(exchange, body -> {
                setListing(HttpExchanges.JSON.readValue(body, Listing.class));
                HttpExchanges.sendJson(exchange, 200, visibleListing());
            });
            return;
        }
        if (!path.equals("/vms")) {
            HttpExchanges.sendNotFound(exchange);
            return;
        }
        HttpExchanges.readBody(exchange, body -> sendListing(exchange));
    }

    private void sendListing(HttpServerExchange exchange) {
        VmListFaults current = faults();
        if (current.unanswered()) {
            return;
        }
        Listing listing = visibleListing();
        server.schedule(current.latencyMillis(), () -> {
            if (current.unavailable()) {
                HttpExchanges.sendJson(exchange, 503, new HttpExchanges.Problem("the list of VMs is unavailable"));
            } else {
                HttpExchanges.sendJson(exchange, 200, listing);
            }
        });
    }

    private long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong());
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        server.close();
    }
}
