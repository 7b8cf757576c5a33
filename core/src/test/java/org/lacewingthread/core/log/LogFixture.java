package org.lacewingthread.core.log;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.KeySource;
import org.lacewingthread.core.config.Label;
import org.lacewingthread.core.config.PlacementProfile;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.config.RequestSelector;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.id.WriterId;

/** Builds a log for tests. Each record is appended at the next offset and applied at once. */
final class LogFixture {
    static final ApplicationId LEDGER = new ApplicationId("ledger");
    static final DataCentreId MARAS = new DataCentreId("maras");
    static final DataCentreId CALCA = new DataCentreId("calca");
    static final VmStart M1 = start("maras-1", 1);
    static final VmStart M2 = start("maras-2", 2);
    static final VmStart C1 = start("calca-1", 3);

    final LogReplica replica = new LogReplica();
    final List<LogEntry> entries = new ArrayList<>();
    private long nextSequence;

    /** Returns a log with a configuration, and with a roster and a leader claim for each of two data centres. */
    static LogFixture bootstrapped() {
        LogFixture log = new LogFixture();
        log.append(publish(-1, configuration(16)));
        log.append(roster(MARAS, -1, M1));
        log.append(roster(CALCA, -1, C1));
        log.append(claim(MARAS, -1, M1));
        log.append(claim(CALCA, -1, C1));
        return log;
    }

    ApplyResult append(LogRecord body) {
        return append(new RecordHeader(new WriterId("w1"), nextSequence++, "ana", 0), body);
    }

    ApplyResult append(RecordHeader header, LogRecord body) {
        LogEntry entry = new LogEntry(offset(entries.size()), header, body);
        entries.add(entry);
        return replica.apply(entry);
    }

    ReplicaState state() {
        return replica.state();
    }

    ShardTable.Entry entry(int index) {
        return state().shardTable(LEDGER).entry(index);
    }

    static LogOffset offset(long value) {
        return new LogOffset(value);
    }

    static VmStart start(String vm, long number) {
        return new VmStart(new VmId(vm), number);
    }

    static RosterMember member(VmStart start) {
        return new RosterMember(start, "10.0.0.1", 7000);
    }

    static LogRecord publish(long base, RoutingConfiguration configuration) {
        return new LogRecord.ConfigurationPublished(offset(base), configuration);
    }

    static LogRecord roster(DataCentreId dataCentre, long base, VmStart... starts) {
        return new LogRecord.RosterChanged(dataCentre, offset(base), members(starts));
    }

    static List<RosterMember> members(VmStart... starts) {
        return Arrays.stream(starts).map(LogFixture::member).toList();
    }

    static LogRecord claim(DataCentreId dataCentre, long follows, VmStart claimant) {
        return new LogRecord.LeaderClaimed(dataCentre, offset(follows), claimant);
    }

    static Term term(long claim, long ordinal, VmStart leader) {
        return new Term(offset(claim), ordinal, leader);
    }

    static ShardId shard(int index) {
        return new ShardId(LEDGER, index);
    }

    static ShardAssignment assignment(int index, String owner, Term term, long plan) {
        return new ShardAssignment(shard(index), new ServerId(owner), List.of(), new FencingToken(term, plan));
    }

    static LogRecord assign(DataCentreId dataCentre, Term term, ShardAssignment... assignments) {
        return new LogRecord.AssignmentsRecorded(dataCentre, term, List.of(assignments));
    }

    static LogRecord release(DataCentreId dataCentre, Term term, DataCentreId target, int... indexes) {
        List<ShardId> shards =
                Arrays.stream(indexes).mapToObj(LogFixture::shard).toList();
        return new LogRecord.ShardsReleased(dataCentre, term, target, shards);
    }

    static RoutingConfiguration configuration(int shardCount, ServerSpec... more) {
        List<ServerSpec> servers = new ArrayList<>();
        servers.add(server("s1", MARAS, 1));
        servers.add(server("s2", MARAS, 2));
        servers.add(server("s3", CALCA, 3));
        servers.addAll(List.of(more));
        return new RoutingConfiguration(List.of(ledger(shardCount)), servers);
    }

    static ApplicationSpec ledger(int shardCount) {
        RequestSelector selector = new RequestSelector(
                "rugs", List.of("GET"), "/rugs", RequestClass.LOOKUP, new KeySource(KeySource.Kind.PATH_SEGMENT, "1"));
        return new ApplicationSpec(
                LEDGER,
                shardCount,
                PlacementProfile.MINIMISE_UNAVAILABLE,
                List.of(new Label("app", "ledger")),
                List.of(selector));
    }

    static ServerSpec server(String id, DataCentreId dataCentre, int port) {
        return new ServerSpec(
                new ServerId(id),
                dataCentre,
                "10.1.0.1",
                port,
                List.of(new Label("app", "ledger")),
                2,
                130,
                false,
                false);
    }
}
