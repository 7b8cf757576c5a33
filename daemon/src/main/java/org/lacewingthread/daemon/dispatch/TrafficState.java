package org.lacewingthread.daemon.dispatch;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.routing.RequestClassifier;
import org.lacewingthread.core.routing.RoutingTable;
import org.lacewingthread.daemon.exchange.RoutedRequest;

/**
 * Newest control state as traffic threads see it: the {@link ControlView} and the {@link RoutingTable}
 * compiled from it, always of the same moment.
 *
 * <pre>{@code
 * TrafficState state = new TrafficState();
 * state.publish(view); // by the control thread
 * RoutingTable.Route route = state.snapshot().table().routeOf(shard); // by traffic threads
 * }</pre>
 */
public final class TrafficState {
    private final AtomicReference<Snapshot> current = new AtomicReference<>(Snapshot.EMPTY);
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

    /**
     * One view with its routes.
     *
     * @param view the view, or null before the first
     * @param table its routes
     * @param classifier its selectors
     */
    public record Snapshot(ControlView view, RoutingTable table, RequestClassifier classifier) {
        private static final Snapshot EMPTY =
                new Snapshot(null, RoutingTable.EMPTY, RequestClassifier.compile(RoutingConfiguration.EMPTY));

        /** Returns whether requests may be routed by it. */
        public boolean isReady() {
            return view != null && view.ready();
        }

        /**
         * Returns the shard that a request's key belongs to now. The shard that the request names is the
         * one that its first entry VM knew; the key may have been split out or merged back since.
         */
        public ShardId shardOf(RoutedRequest request) {
            ApplicationId application = request.shard().application();
            int index = table.shardIndexOf(application, request.keyHash());
            return index < 0 ? request.shard() : new ShardId(application, index);
        }

        /** Returns the route of a request's key. */
        public RoutingTable.Route routeOf(RoutedRequest request) {
            return table.routeOf(request.shard().application(), request.keyHash());
        }

        /** Returns whether this VM dispatches a request's key to a server. */
        public boolean isDispatchedHere(RoutedRequest request, ServerId server) {
            RoutingTable.Route route = routeOf(request);
            return route.target() == RoutingTable.Target.LOCAL && route.server().equals(server);
        }
    }

    /** Returns the newest view with its routes. */
    public Snapshot snapshot() {
        return current.get();
    }

    /** Takes in a new view; called by the control thread only. */
    public void publish(ControlView view) {
        Snapshot previous = current.get();
        RoutingTable table = RoutingTable.compile(view, previous.table());
        current.set(new Snapshot(view, table, classifierOf(view, previous)));
        listeners.forEach(Runnable::run);
    }

    private static RequestClassifier classifierOf(ControlView view, Snapshot previous) {
        RoutingConfiguration configuration = view.state().configuration();
        boolean unchanged = previous.view() != null
                && previous.view().state().configuration().equals(configuration);
        return unchanged ? previous.classifier() : RequestClassifier.compile(configuration);
    }

    /** Adds a listener that is run by the control thread after every view; it must not block. */
    void addListener(Runnable listener) {
        listeners.add(listener);
    }
}
