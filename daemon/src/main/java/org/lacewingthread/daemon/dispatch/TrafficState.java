package org.lacewingthread.daemon.dispatch;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.routing.RequestClassifier;
import org.lacewingthread.core.routing.RoutingTable;
import org.lacewingthread.daemon.exchange.RoutedRequest;

/**
 * Publishes the newest control state to the threads that process requests: the {@link ControlView} together with
 * the {@link RoutingTable} and the {@link RequestClassifier} compiled from it, replaced as one snapshot.
 *
 * <pre>{@code
 * TrafficState state = new TrafficState();
 * state.publish(view); // by the control thread
 * RoutingTable.Route route = state.snapshot().table().routeOf(shard); // by traffic threads
 * }</pre>
 */
public final class TrafficState {
    private final AtomicReference<Snapshot> current = new AtomicReference<>(Snapshot.EMPTY);
    private final List<Consumer<ControlView>> preparations = new CopyOnWriteArrayList<>();
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

    /**
     * A control view with the routes and selectors compiled from it.
     *
     * @param view the control view, or null before the first was published
     * @param table routes of the view
     * @param classifier request selectors of the view
     */
    public record Snapshot(ControlView view, RoutingTable table, RequestClassifier classifier) {
        private static final Snapshot EMPTY =
                new Snapshot(null, RoutingTable.EMPTY, RequestClassifier.compile(RoutingConfiguration.EMPTY));

        /** Returns whether requests may be routed by this snapshot. */
        public boolean isReady() {
            return view != null && view.ready();
        }

        /**
         * Returns the shard that a request's key currently belongs to. The request names the shard known to the
         * entry VM that received it from the caller; the key may have been split out or merged back since.
         */
        public ShardId shardOf(RoutedRequest request) {
            ApplicationId application = request.shard().application();
            int index = table.shardIndexOf(application, request.keyHash());
            return index < 0 ? request.shard() : new ShardId(application, index);
        }

        /** Returns the current route of a request's key. */
        public RoutingTable.Route routeOf(RoutedRequest request) {
            return table.routeOf(request.shard().application(), request.keyHash());
        }

        /** Returns whether this VM dispatches requests with the request's key to the given server. */
        public boolean isDispatchedHere(RoutedRequest request, ServerId server) {
            RoutingTable.Route route = routeOf(request);
            return route.target() == RoutingTable.Target.LOCAL && route.server().equals(server);
        }
    }

    /** Returns the newest view with its routes. */
    public Snapshot snapshot() {
        return current.get();
    }

    /** Publishes a new view and runs the listeners; called by the control thread only. */
    public void publish(ControlView view) {
        Snapshot previous = current.get();
        RoutingTable table = RoutingTable.compile(view, previous.table());
        Snapshot next = new Snapshot(view, table, classifierOf(view, previous));
        preparations.forEach(preparation -> preparation.accept(view));
        current.set(next);
        listeners.forEach(Runnable::run);
    }

    private static RequestClassifier classifierOf(ControlView view, Snapshot previous) {
        RoutingConfiguration configuration = view.state().configuration();
        boolean unchanged = previous.view() != null
                && previous.view().state().configuration().equals(configuration);
        return unchanged ? previous.classifier() : RequestClassifier.compile(configuration);
    }

    /** Adds an action that the control thread runs before it publishes a view; it must not block. */
    void addPreparation(Consumer<ControlView> preparation) {
        preparations.add(preparation);
    }

    /** Adds a listener that the control thread runs after every published view; it must not block. */
    void addListener(Runnable listener) {
        listeners.add(listener);
    }
}
