package org.lacewingthread.daemon.router;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.keyrange.AppendResult;
import org.lacewingthread.core.keyrange.CoordinatorAction;
import org.lacewingthread.core.keyrange.GrantOutcome;
import org.lacewingthread.core.keyrange.LogPosition;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.keyrange.ReleaseOutcome;
import org.lacewingthread.core.membership.StoreAnswers;
import org.lacewingthread.core.quarantine.CrashRecord;
import org.lacewingthread.core.quarantine.RequestFingerprint;
import org.lacewingthread.core.registry.RegistryChanges;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.serving.ServingConfiguration;

/**
 * Services that the router uses of the platform that it runs on: configuration, registry of servers, store of the range
 * table, leader selection and commands to servers. All methods and callbacks run on the control thread.
 */
public interface Platform {
    /** Receives the evacuations of data centres; ignores them where a method is not overridden. */
    interface EvacuationListener {
        /** Called when a data centre is evacuated; may be called again for the same evacuation. */
        default void onEvacuation(DataCentreId dataCentre) {}

        /** Called when a data centre is not evacuated any more, or never was. */
        default void onEvacuationEnded(DataCentreId dataCentre) {}

        /** Called with all evacuated data centres. */
        default void onEvacuationsListed(Set<DataCentreId> dataCentres) {}

        /**
         * Called when every evacuation that the platform accepted up to a time has been passed on.
         *
         * @param asOfMillis the time, by the control clock
         */
        default void onEvacuationsCurrent(long asOfMillis) {}

        /** Called when the platform did not tell the evacuations although it was asked. */
        default void onEvacuationsUnreachable() {}

        /** Called with the beginning of the key of an evacuation that names no data centre. */
        default void onUnreadableEvacuation(String key) {}
    }

    /** Ignores all evacuations. */
    EvacuationListener IGNORED_EVACUATIONS = new EvacuationListener() {};

    /** Receives changes from the platform. */
    interface Listener {
        /** Called with the newest configuration. */
        void onConfiguration(ServingConfiguration configuration);

        /** Called with changes of servers that were passed on, with their positions in the registry's log. */
        void onRegistryChanges(RegistryChanges changes);

        /** Called when the registry of servers answered. */
        void onRegistryReached();

        /**
         * Called when every change that the registry accepted up to a time has been passed on.
         *
         * @param asOfMillis the time, by the control clock
         */
        void onRegistryCurrent(long asOfMillis);

        /** Called when the registry of servers did not answer. */
        void onRegistryUnreachable();

        /** Called with the entry of a new or changed server. */
        void onServerChanged(ServerEntry entry);

        /** Called when a server's entry was removed from the registry. */
        void onServerRemoved(ServerId server);

        /** Called with a complete listing of the registry. */
        void onServersListed(List<ServerEntry> entries);

        /**
         * Called with the newest recorded range table.
         *
         * @param position log position after the table's record
         * @param askedAtMillis when the read was sent, by the control clock
         */
        void onRangeTable(RangeTable table, LogPosition position, long askedAtMillis);

        /**
         * Called when the recorded range table has not changed.
         *
         * @param era era of the store that the answer stated
         * @param askedAtMillis when the read was sent, by the control clock
         */
        void onRangeTableUnchanged(long era, long askedAtMillis);

        /**
         * Called with the era that the store's first answer states, and with each later one, in which it came back from an older
         * copy, before anything of the era is passed on. An answer that refuses a call states the era as well.
         */
        void onStoreEra(long era);

        /** Called with whether this entry VM is the one that should lead. */
        void onLeaderSelection(boolean selected);

        /** Returns what is told of the evacuations of data centres. */
        default EvacuationListener evacuations() {
            return IGNORED_EVACUATIONS;
        }

        /** Called with a stored record of a request that crashes servers. */
        void onStoredCrashRecord(CrashRecord known);

        /** Called when the stored record of a request was deleted, since it no longer crashes servers. */
        void onCrashRecordDeleted(RequestFingerprint fingerprint);
    }

    /** Starts to follow configuration, servers and range table, and passes them to the listener. */
    void start(Listener listener);

    /**
     * Sets whether this VM leads. A leader reads the registry more often, since it moves the keys of leaving servers.
     */
    void setLeading(boolean leading);

    /**
     * Log positions after the newest records that an entry VM has read. Positions of different eras are never compared.
     *
     * @param era era of the store, which rises when it comes back from an older copy
     * @param registry position after the newest change of a server
     * @param configuration position after the newest configuration
     * @param table position after the newest range table
     */
    record Positions(long era, long registry, long configuration, long table) {
        /** Creates positions of a store that has never come back from an older copy. */
        public Positions(long registry, long configuration, long table) {
            this(0, registry, configuration, table);
        }
    }

    /**
     * Times up to which everything is known, by the control clock of the VM that receives them.
     *
     * @param registryMillis up to which all changes of servers are known
     * @param configurationMillis up to which all configurations are known
     */
    record AsOf(long registryMillis, long configurationMillis) {}

    /** Returns the time up to which all configurations have been passed on; far in the past before the first reading. */
    long configurationAsOfMillis();

    /** Returns the positions up to which this VM has read. */
    Positions positions();

    /**
     * Reports the positions up to which the leader has read; the leader reads more often than the other entry VMs.
     *
     * @param asOf times up to which the positions are complete; empty if that is not known
     */
    void onLeaderPositions(Positions positions, Optional<AsOf> asOf);

    /** Passes on changes that the leader has read from the registry, if all earlier ones are known here. */
    void onRegistryChangesKnown(RegistryChanges changes);

    /** Records that this VM knows the range table at a log position, so that it need not be read up to there. */
    void onTableKnown(LogPosition position);

    /** Appends a range table. */
    void appendTable(CoordinatorAction.RecordTable action, Consumer<AppendResult> result);

    /**
     * How a grant ended.
     *
     * @param outcome the outcome
     * @param sentAtMillis when the call was handed to a connection, by the control clock; empty if it never was
     */
    record GrantResult(GrantOutcome outcome, OptionalLong sentAtMillis) {}

    /** Sends a grant of a key range to a server. */
    void grant(ServerEntry server, CoordinatorAction.Grant action, Consumer<GrantResult> result);

    /**
     * How a release ended.
     *
     * @param outcome the outcome
     * @param handover token for the next owner, if the server returned one
     * @param sentAtMillis when the call was handed to a connection, by the control clock; empty if it never was
     */
    record ReleaseResult(ReleaseOutcome outcome, Optional<String> handover, OptionalLong sentAtMillis) {}

    /** Asks a server to release a key range. */
    void release(ServerEntry server, CoordinatorAction.Release action, Consumer<ReleaseResult> result);

    /** Returns where records of requests that crash servers are kept. */
    CrashRecordStore crashRecordStore();

    /**
     * Records the leader's answer to a report, which tells whether this VM has to stand by to lead.
     *
     * @param standby whether it has to; also true if the leader does not state it
     * @param leaderReachesServers whether the leader states that it reaches servers
     * @param storeSilenceMillis time since the store last answered the leader
     */
    default void onLeaderAnswer(boolean standby, boolean leaderReachesServers, long storeSilenceMillis) {}

    /** Returns whether this VM can join the group of which one is selected as leader. */
    default boolean canJoinLeaderGroup() {
        return true;
    }

    /** Leaves the lead to others, since this VM can't carry it: it is not selected for a while. */
    default void giveUpLead() {}

    /** Returns whether this VM joins the group of which one is selected as leader; may be called on any thread. */
    default boolean isLeaderGroupMember() {
        return true;
    }

    /** Returns how often this VM left the lead to others since the start; may be called on any thread. */
    default int leadsGivenUp() {
        return 0;
    }

    /** Sets whether this VM may be selected as leader; one that reaches no server may not. */
    void setLeaderEligible(boolean eligible);

    /** Leaves the group of entry VMs, so that another one is selected as leader. */
    void leave();

    /** Returns the number of calls to the store since the start; may be called on any thread. */
    default long storeCalls() {
        return 0;
    }

    /**
     * Returns when the store last answered a call of any kind, by the control clock; far in the past if it never did, or if that
     * is not measured.
     */
    default long storeAnsweredMillis() {
        return StoreAnswers.NEVER_MILLIS;
    }

    /** Returns how often a call to the store was held back since the start; may be called on any thread. */
    default long storeCallsHeldBack() {
        return 0;
    }

    /** Returns the number of responses to this VM's calls that counted for none of them; may be called on any thread. */
    default long droppedResponses() {
        return 0;
    }
}
