package org.lacewingthread.daemon.router;

import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.keyrange.CoordinatorAction;
import org.lacewingthread.core.keyrange.GrantOutcome;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.keyrange.ReleaseOutcome;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.serving.ServingConfiguration;

/** What the router needs of the platform that it runs on. All methods and callbacks run on the control thread. */
public interface Platform {
    /** Takes what the platform tells. */
    interface Listener {
        /** Takes the newest configuration. */
        void onConfiguration(ServingConfiguration configuration);

        /** Takes in that the registry of servers answered. */
        void onRegistryReached();

        /** Takes in that the registry of servers did not answer. */
        void onRegistryUnreachable();

        /** Takes a new or changed server. */
        void onServerChanged(ServerEntry entry);

        /** Takes in that a server's entry is gone. */
        void onServerRemoved(ServerId server);

        /** Takes a whole listing of the registry. */
        void onServersListed(List<ServerEntry> entries);

        /**
         * Takes the newest table of owners.
         *
         * @param end end of the log behind it
         * @param askedAtMillis when the question was sent, by the control clock
         */
        void onRangeTable(RangeTable table, long end, long askedAtMillis);

        /**
         * Takes in that the table of owners has not changed.
         *
         * @param askedAtMillis when the question was sent, by the control clock
         */
        void onRangeTableUnchanged(long askedAtMillis);

        /** Takes whether this entry VM is the one that should lead. */
        void onLeaderSelection(boolean chosen);
    }

    /** Starts to read; everything arrives at the listener. */
    void start(Listener listener);

    /** Asks the registry more often while this VM leads, since it moves the keys of leaving servers. */
    void setLeading(boolean leading);

    /**
     * Positions behind the newest records that were read.
     *
     * @param registry behind the newest change of a server
     * @param configuration behind the newest configuration
     * @param table behind the newest table of owners
     */
    record Positions(long registry, long configuration, long table) {}

    /** Returns how far this VM has read. */
    Positions positions();

    /** Takes in how far the leader has read, which asks more often than others. */
    void onLeaderPositions(Positions positions);

    /** Appends a table; the result is the new end of the log, or empty if it was refused or is unknown. */
    void appendTable(CoordinatorAction.RecordTable action, Consumer<Optional<Long>> result);

    /** Sends a grant to a server. */
    void grant(ServerEntry server, CoordinatorAction.Grant action, Consumer<GrantOutcome> result);

    /** Sends a release to a server; the result is its outcome and the handover token. */
    void release(
            ServerEntry server, CoordinatorAction.Release action, BiConsumer<ReleaseOutcome, Optional<String>> result);

    /** Tells the platform that this VM leaves. */
    void leave();
}
