package org.lacewingthread.core.log;

import java.util.List;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;

/**
 * A record of the platform's log. Each record type documents the condition under which {@link
 * LogReplica} accepts it. A record whose condition fails is ignored, by every replica alike.
 */
public sealed interface LogRecord {
    /**
     * Replaces the routing configuration. Drains of servers that are no longer configured end.
     *
     * @param baseRevision revision of the configuration to replace; the record is accepted only if this is
     *     the current revision
     * @param configuration the new configuration; accepted only if {@link
     *     org.lacewingthread.core.config.ConfigurationValidator} finds no error, no application changes
     *     its shard count, and no server that owns shards of a configured application changes its data
     *     centre, address or token checking
     */
    record ConfigurationPublished(LogOffset baseRevision, RoutingConfiguration configuration) implements LogRecord {
        /** Creates the record; throws IllegalArgumentException if a component is null. */
        public ConfigurationPublished {
            require(baseRevision, "base revision");
            require(configuration, "configuration");
        }
    }

    /**
     * Adds or removes one entry VM of a data centre's roster.
     *
     * @param dataCentre data centre of the roster
     * @param baseRevision accepted only if this is the roster's current revision
     * @param members the new roster in order of leader succession. It is not empty, and differs from the
     *     old one by one added or removed member, with the others in the same order. The first roster of a
     *     data centre has one member. The drain of an entry VM ends when it joins
     */
    record RosterChanged(DataCentreId dataCentre, LogOffset baseRevision, List<RosterMember> members)
            implements LogRecord {
        /** Creates the record with a copy of the roster. */
        public RosterChanged {
            require(dataCentre, "data centre");
            require(baseRevision, "base revision");
            members = List.copyOf(members);
        }
    }

    /**
     * Replaces a roster that has permanently lost a majority of its members. Ends every earlier claim and
     * term: the next claim must name the offset of this record as its predecessor.
     *
     * @param dataCentre data centre of the roster
     * @param baseRevision accepted only if this is the roster's current revision
     * @param members the new roster
     * @param reason the platform's statement or the operator's order that permits the reset; not blank
     */
    record RosterReset(DataCentreId dataCentre, LogOffset baseRevision, List<RosterMember> members, String reason)
            implements LogRecord {
        /** Creates the record with a copy of the roster. */
        public RosterReset {
            require(dataCentre, "data centre");
            require(baseRevision, "base revision");
            members = List.copyOf(members);
            require(reason, "reason");
        }
    }

    /**
     * Claims a data centre's leadership. The record's offset becomes the claim offset of the new term.
     *
     * @param dataCentre data centre to lead
     * @param followsClaim accepted only if this is the offset of the newest accepted claim, or of a later
     *     roster reset
     * @param claimant process that claims the leadership; must be in the roster
     */
    record LeaderClaimed(DataCentreId dataCentre, LogOffset followsClaim, VmStart claimant) implements LogRecord {
        /** Creates the record; throws IllegalArgumentException if a component is null. */
        public LeaderClaimed {
            require(dataCentre, "data centre");
            require(followsClaim, "claim that it follows");
            require(claimant, "claimant");
        }
    }

    /**
     * Assigns shards to backend servers of one data centre.
     *
     * @param dataCentre the data centre that is responsible for the shards
     * @param term accepted only if its claim offset is that of the newest claim and it is not lower than
     *     the highest term that has recorded assignments; a term with ordinal 0 must be the claimant's. A
     *     term with a higher ordinal was begun while the log was unavailable, by a leader that need not
     *     appear in the log
     * @param assignments the assignments, at most one for each shard. Each shard is unassigned, or released
     *     to the data centre, or the data centre is responsible for it and has not released it. Servers that
     *     are configured must be in the data centre. No token may have a higher term than the record. For a
     *     shard that the data centre is already responsible for, no token may be lower than the recorded one,
     *     and an equal token must name the same owner, so that only the failover list can change. If one
     *     assignment is rejected, the whole record is rejected
     */
    record AssignmentsRecorded(DataCentreId dataCentre, Term term, List<ShardAssignment> assignments)
            implements LogRecord {
        /** Creates the record with a copy of the assignments. */
        public AssignmentsRecorded {
            require(dataCentre, "data centre");
            require(term, "term");
            assignments = List.copyOf(assignments);
        }
    }

    /**
     * Releases shards to another data centre. No lease on them may be valid any more.
     *
     * @param dataCentre data centre that is responsible for the shards
     * @param term see {@link AssignmentsRecorded}
     * @param target data centre that may take over the shards by assigning them; must have a roster. Until
     *     it has done so, another release can change the target; a release to the data centre that is
     *     responsible for the shards withdraws the earlier one
     * @param shards shards to release
     */
    record ShardsReleased(DataCentreId dataCentre, Term term, DataCentreId target, List<ShardId> shards)
            implements LogRecord {
        /** Creates the record with a copy of the shards. */
        public ShardsReleased {
            require(dataCentre, "data centre");
            require(term, "term");
            require(target, "target data centre");
            shards = List.copyOf(shards);
        }
    }

    /**
     * Releases all shards of a lost data centre to another one, except those that it has already
     * released. The lost data centre can no longer assign them.
     *
     * @param from the lost data centre
     * @param target data centre that may take over the shards; must have a roster and differ from {@code
     *     from}
     * @param reason reason stated by the operator
     */
    record DataCentreHandedOver(DataCentreId from, DataCentreId target, String reason) implements LogRecord {
        /** Creates the record; throws IllegalArgumentException if a component is null. */
        public DataCentreHandedOver {
            require(from, "lost data centre");
            require(target, "target data centre");
            require(reason, "reason");
        }
    }

    /**
     * Starts or ends the drain of a backend server.
     *
     * @param server the backend server; must be configured if the drain starts
     * @param draining whether the drain starts or ends
     */
    record ServerDrainSet(ServerId server, boolean draining) implements LogRecord {
        /** Creates the record; throws IllegalArgumentException if the server is null. */
        public ServerDrainSet {
            require(server, "server");
        }
    }

    /**
     * Starts or ends the drain of an entry VM.
     *
     * @param vm the entry VM; must be in a roster if the drain starts
     * @param draining whether the drain starts or ends
     */
    record VmDrainSet(VmId vm, boolean draining) implements LogRecord {
        /** Creates the record; throws IllegalArgumentException if the VM is null. */
        public VmDrainSet {
            require(vm, "VM");
        }
    }

    /**
     * Splits hot keys out into shards of their own. Each new shard starts with the owner, failover list and
     * token of the hashed shard that the key belonged to. Keys that are already split out are skipped.
     *
     * @param dataCentre data centre that is responsible for the hashed shards of the keys
     * @param term see {@link AssignmentsRecorded}
     * @param application application of the keys
     * @param keyHashes hashes of the keys, each at most once
     */
    record KeysSplit(DataCentreId dataCentre, Term term, ApplicationId application, List<Long> keyHashes)
            implements LogRecord {
        /** Creates the record with a copy of the hashes. */
        public KeysSplit {
            require(dataCentre, "data centre");
            require(term, "term");
            require(application, "application");
            keyHashes = List.copyOf(keyHashes);
        }
    }

    /**
     * Merges split-out keys back into their hashed shards. For each key, both shards must have the same
     * owner, and the data centre must be responsible for both. Keys that are not split out are skipped.
     *
     * @param dataCentre data centre that is responsible for the shards
     * @param term see {@link AssignmentsRecorded}
     * @param application application of the keys
     * @param keyHashes hashes of the keys, each at most once
     */
    record KeysMerged(DataCentreId dataCentre, Term term, ApplicationId application, List<Long> keyHashes)
            implements LogRecord {
        /** Creates the record with a copy of the hashes. */
        public KeysMerged {
            require(dataCentre, "data centre");
            require(term, "term");
            require(application, "application");
            keyHashes = List.copyOf(keyHashes);
        }
    }

    /**
     * Contains the state after all records up to its applied offset, so that a replica can start without
     * reading these records. A replica that has already applied them keeps its own state.
     *
     * @param state the state; its applied offset must be below the offset of this record
     */
    record SnapshotTaken(ReplicaState state) implements LogRecord {
        /** Creates the record; throws IllegalArgumentException if the state is null. */
        public SnapshotTaken {
            require(state, "state");
        }
    }

    /**
     * Stands for a record that could not be decoded.
     *
     * @param reason description of the decoding error
     */
    record Unreadable(String reason) implements LogRecord {}

    private static void require(Object component, String name) {
        if (component == null) {
            throw new IllegalArgumentException("record lacks its " + name);
        }
    }
}
