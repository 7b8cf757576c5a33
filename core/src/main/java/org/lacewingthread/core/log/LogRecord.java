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
 * A record of the platform's log. Each kind states the condition under which {@link LogReplica}
 * accepts it; a record that fails its condition is dropped, and every replica drops the same ones.
 */
public sealed interface LogRecord {
    /**
     * Replaces the routing configuration. Drain marks of servers that it does not name are dropped.
     *
     * @param baseRevision accepted only if this is the revision in force
     * @param configuration the new configuration; accepted only if {@link
     *     org.lacewingthread.core.config.ConfigurationValidator} finds no error, no application changes
     *     its shard count, and no server that owns shards of a configured application changes its data
     *     centre, address or token checking
     */
    record ConfigurationPublished(LogOffset baseRevision, RoutingConfiguration configuration) implements LogRecord {
        /** Checks that both parts are present. */
        public ConfigurationPublished {
            require(baseRevision, "base revision");
            require(configuration, "configuration");
        }
    }

    /**
     * Adds or removes one entry VM of a data centre's roster.
     *
     * @param dataCentre the data centre
     * @param baseRevision accepted only if this is the roster's revision
     * @param members the new roster in order of succession; differs from the old by one member added or
     *     removed, keeps the order of the others, and is not empty. The first roster of a data centre has
     *     one member. An entry VM that joins is not draining any more
     */
    record RosterChanged(DataCentreId dataCentre, LogOffset baseRevision, List<RosterMember> members)
            implements LogRecord {
        /** Copies the roster. */
        public RosterChanged {
            require(dataCentre, "data centre");
            require(baseRevision, "base revision");
            members = List.copyOf(members);
        }
    }

    /**
     * Replaces a roster of which a majority is gone for good. Ends every earlier claim and term: the next
     * claim follows this record.
     *
     * @param dataCentre the data centre
     * @param baseRevision accepted only if this is the roster's revision
     * @param members the new roster
     * @param reason the platform's word or the operator's order that allows it
     */
    record RosterReset(DataCentreId dataCentre, LogOffset baseRevision, List<RosterMember> members, String reason)
            implements LogRecord {
        /** Copies the roster. */
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
     * @param dataCentre the data centre
     * @param followsClaim accepted only if this is the offset of the newest accepted claim
     * @param claimant the claiming process; must be in the roster
     */
    record LeaderClaimed(DataCentreId dataCentre, LogOffset followsClaim, VmStart claimant) implements LogRecord {
        /** Checks that every part is present. */
        public LeaderClaimed {
            require(dataCentre, "data centre");
            require(followsClaim, "claim that it follows");
            require(claimant, "claimant");
        }
    }

    /**
     * Assigns shards to backend servers of one data centre.
     *
     * @param dataCentre the data centre that governs the shards
     * @param term accepted only if its claim offset is that of the newest claim and it is not below
     *     the highest term that has recorded assignments; a term of ordinal 0 must be the claimant's.
     *     A term of a higher ordinal was begun while the log was out, by a leader that the log need not know
     * @param assignments the assignments, each of another shard that is unassigned, governed by the data
     *     centre and not released, or released to it. Their servers must stand in the data centre if they
     *     are configured. No token is above the record's term. For a shard that the data centre governed
     *     before, no token is below the recorded one, and an equal one names the same owner: it changes at
     *     most the failover list. If one assignment fails, the record changes nothing
     */
    record AssignmentsRecorded(DataCentreId dataCentre, Term term, List<ShardAssignment> assignments)
            implements LogRecord {
        /** Copies the assignments. */
        public AssignmentsRecorded {
            require(dataCentre, "data centre");
            require(term, "term");
            assignments = List.copyOf(assignments);
        }
    }

    /**
     * Gives up shards in favour of another data centre; no lease on them may be running.
     *
     * @param dataCentre the data centre that governs them
     * @param term as for {@link AssignmentsRecorded}
     * @param target the data centre that may adopt them by assigning them; must have a roster. Until it
     *     does, a further release names another target, and one to the own data centre takes them back
     * @param shards the shards
     */
    record ShardsReleased(DataCentreId dataCentre, Term term, DataCentreId target, List<ShardId> shards)
            implements LogRecord {
        /** Copies the shards. */
        public ShardsReleased {
            require(dataCentre, "data centre");
            require(term, "term");
            require(target, "target data centre");
            shards = List.copyOf(shards);
        }
    }

    /**
     * Hands all shards of a lost data centre that it has not released to another. The lost data centre
     * can't assign them any more.
     *
     * @param from the lost data centre
     * @param target the data centre that may adopt its shards; must have a roster
     * @param reason the operator's reason
     */
    record DataCentreHandedOver(DataCentreId from, DataCentreId target, String reason) implements LogRecord {
        /** Checks that every part is present. */
        public DataCentreHandedOver {
            require(from, "lost data centre");
            require(target, "target data centre");
            require(reason, "reason");
        }
    }

    /**
     * Starts or ends the drain of a backend server.
     *
     * @param server the server; must be configured if a drain starts
     * @param draining whether it is to be drained
     */
    record ServerDrainSet(ServerId server, boolean draining) implements LogRecord {
        /** Checks that the server is named. */
        public ServerDrainSet {
            require(server, "server");
        }
    }

    /**
     * Starts or ends the drain of an entry VM.
     *
     * @param vm the entry VM; must be in a roster if a drain starts
     * @param draining whether it is to be drained
     */
    record VmDrainSet(VmId vm, boolean draining) implements LogRecord {
        /** Checks that the VM is named. */
        public VmDrainSet {
            require(vm, "VM");
        }
    }

    /**
     * Gives hot keys shards of their own. They stay with the owner of the shard they came from, under its
     * token, until moved. Keys that are split out already are left as they are.
     *
     * @param dataCentre the data centre that governs the shards they came from
     * @param term as for {@link AssignmentsRecorded}
     * @param application the application
     * @param keyHashes hashes of the keys
     */
    record KeysSplit(DataCentreId dataCentre, Term term, ApplicationId application, List<Long> keyHashes)
            implements LogRecord {
        /** Copies the hashes. */
        public KeysSplit {
            require(dataCentre, "data centre");
            require(term, "term");
            require(application, "application");
            keyHashes = List.copyOf(keyHashes);
        }
    }

    /**
     * Merges split-out keys back; each must again be owned by the owner of the shard it came from, and
     * both be governed by the data centre. Keys that are not split out are left as they are.
     *
     * @param dataCentre the data centre that governs them
     * @param term as for {@link AssignmentsRecorded}
     * @param application the application
     * @param keyHashes hashes of the keys
     */
    record KeysMerged(DataCentreId dataCentre, Term term, ApplicationId application, List<Long> keyHashes)
            implements LogRecord {
        /** Copies the hashes. */
        public KeysMerged {
            require(dataCentre, "data centre");
            require(term, "term");
            require(application, "application");
            keyHashes = List.copyOf(keyHashes);
        }
    }

    /**
     * The state after every record up to its applied offset, so that a replica can start without them.
     * A replica that has applied these records ignores it.
     *
     * @param state the state
     */
    record SnapshotTaken(ReplicaState state) implements LogRecord {
        /** Checks that the state is present. */
        public SnapshotTaken {
            require(state, "state");
        }
    }

    /**
     * A record that could not be decoded.
     *
     * @param reason what was wrong
     */
    record Unreadable(String reason) implements LogRecord {}

    private static void require(Object part, String name) {
        if (part == null) {
            throw new IllegalArgumentException("record lacks its " + name);
        }
    }
}
