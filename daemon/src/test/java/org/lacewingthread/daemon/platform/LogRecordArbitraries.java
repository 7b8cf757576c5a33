package org.lacewingthread.daemon.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
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
import org.lacewingthread.core.log.DataCentreState;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.core.log.ShardAssignment;
import org.lacewingthread.core.log.ShardTable;

/** Jqwik generators for log records of every kind. */
final class LogRecordArbitraries {
    private static final int SHARDS = 16;

    private LogRecordArbitraries() {}

    static Arbitrary<LogRecord> records() {
        List<Arbitrary<? extends LogRecord>> kinds = List.of(
                Combinators.combine(offsets(), configurations()).as(LogRecord.ConfigurationPublished::new),
                Combinators.combine(dataCentres(), offsets(), members()).as(LogRecord.RosterChanged::new),
                Combinators.combine(dataCentres(), offsets(), members(), texts())
                        .as(LogRecord.RosterReset::new),
                Combinators.combine(dataCentres(), offsets(), starts()).as(LogRecord.LeaderClaimed::new),
                Combinators.combine(dataCentres(), terms(), assignments().list().ofMaxSize(5))
                        .as(LogRecord.AssignmentsRecorded::new),
                Combinators.combine(
                                dataCentres(),
                                terms(),
                                dataCentres(),
                                shards().list().ofMaxSize(5))
                        .as(LogRecord.ShardsReleased::new),
                Combinators.combine(dataCentres(), dataCentres(), texts()).as(LogRecord.DataCentreHandedOver::new),
                Combinators.combine(servers(), Arbitraries.of(true, false)).as(LogRecord.ServerDrainSet::new),
                Combinators.combine(vms(), Arbitraries.of(true, false)).as(LogRecord.VmDrainSet::new),
                Combinators.combine(
                                dataCentres(),
                                terms(),
                                applications(),
                                Arbitraries.longs().list().ofMaxSize(4))
                        .as(LogRecord.KeysSplit::new),
                Combinators.combine(
                                dataCentres(),
                                terms(),
                                applications(),
                                Arbitraries.longs().list().ofMaxSize(4))
                        .as(LogRecord.KeysMerged::new),
                states().map(LogRecord.SnapshotTaken::new),
                texts().map(LogRecord.Unreadable::new));
        return Arbitraries.oneOf(
                kinds.stream().map(kind -> kind.map(LogRecord.class::cast)).toList());
    }

    private static Arbitrary<String> names() {
        return Arbitraries.strings().withChars("ab3._-").ofMaxLength(4).map(tail -> "m" + tail);
    }

    private static Arbitrary<String> texts() {
        return Arbitraries.strings().excludeChars('\ud800').ofMaxLength(12).filter(LogRecordArbitraries::isUnicode);
    }

    private static boolean isUnicode(String text) {
        return text.chars().noneMatch(c -> Character.isSurrogate((char) c));
    }

    private static Arbitrary<DataCentreId> dataCentres() {
        return names().map(DataCentreId::new);
    }

    private static Arbitrary<ApplicationId> applications() {
        return names().map(ApplicationId::new);
    }

    private static Arbitrary<ServerId> servers() {
        return names().map(ServerId::new);
    }

    private static Arbitrary<VmId> vms() {
        return names().map(VmId::new);
    }

    private static Arbitrary<LogOffset> offsets() {
        return Arbitraries.longs().greaterOrEqual(-1).map(LogOffset::new);
    }

    private static Arbitrary<VmStart> starts() {
        return Combinators.combine(vms(), Arbitraries.longs().greaterOrEqual(0)).as(VmStart::new);
    }

    private static Arbitrary<Term> terms() {
        return Combinators.combine(offsets(), Arbitraries.longs().greaterOrEqual(0), starts())
                .as(Term::new);
    }

    private static Arbitrary<FencingToken> tokens() {
        return Combinators.combine(terms(), Arbitraries.longs().greaterOrEqual(0))
                .as(FencingToken::new);
    }

    private static Arbitrary<ShardId> shards() {
        return Combinators.combine(applications(), Arbitraries.integers().greaterOrEqual(0))
                .as(ShardId::new);
    }

    private static Arbitrary<ShardAssignment> assignments() {
        return Combinators.combine(shards(), servers(), servers().list().ofMaxSize(3), tokens())
                .as(ShardAssignment::new);
    }

    private static Arbitrary<List<RosterMember>> members() {
        return Combinators.combine(
                        starts(),
                        Arbitraries.of("10.0.0.1", "10.0.0.2"),
                        Arbitraries.integers().between(1, 65_535))
                .as(RosterMember::new)
                .list()
                .ofMaxSize(3);
    }

    private static Arbitrary<RoutingConfiguration> configurations() {
        return Combinators.combine(
                        applicationSpecs().list().ofMaxSize(2),
                        serverSpecs().list().ofMaxSize(3))
                .as(RoutingConfiguration::new);
    }

    private static Arbitrary<ApplicationSpec> applicationSpecs() {
        return Combinators.combine(
                        applications(),
                        Arbitraries.of(16, 1_024, 65_536),
                        Arbitraries.of(PlacementProfile.values()),
                        labels(),
                        selectors().list().ofMaxSize(2))
                .as(ApplicationSpec::new);
    }

    private static Arbitrary<List<Label>> labels() {
        return Combinators.combine(names(), names()).as(Label::new).list().ofMaxSize(2);
    }

    private static Arbitrary<RequestSelector> selectors() {
        Arbitrary<KeySource> keys = Arbitraries.of(
                new KeySource(KeySource.Kind.PATH_SEGMENT, "1"),
                new KeySource(KeySource.Kind.HEADER, "Key"),
                new KeySource(KeySource.Kind.QUERY_PARAMETER, "rug"));
        return Combinators.combine(
                        names(),
                        Arbitraries.of("GET", "POST").list().ofMaxSize(2),
                        names().map(name -> "/" + name),
                        Arbitraries.of(RequestClass.values()),
                        keys)
                .as(RequestSelector::new);
    }

    private static Arbitrary<ServerSpec> serverSpecs() {
        return Combinators.combine(
                        servers(), dataCentres(), labels(), Arbitraries.of(true, false), Arbitraries.of(true, false))
                .as((id, dataCentre, labels, checks, recognises) ->
                        new ServerSpec(id, dataCentre, "10.0.0.3", 8_080, labels, 2, 50, checks, recognises));
    }

    private static Arbitrary<ReplicaState> states() {
        Arbitrary<Map<WriterId, Long>> sequences = Arbitraries.maps(names().map(WriterId::new), Arbitraries.longs())
                .ofMaxSize(3);
        return Combinators.combine(
                        offsets(),
                        offsets(),
                        configurations(),
                        Arbitraries.maps(dataCentres(), dataCentreStates()).ofMaxSize(2),
                        applications().flatMap(LogRecordArbitraries::shardTables),
                        servers().set().ofMaxSize(2),
                        vms().set().ofMaxSize(2),
                        sequences)
                .as((applied, revision, configuration, centres, tables, drainingServers, drainingVms, last) ->
                        new ReplicaState(
                                applied,
                                revision,
                                configuration,
                                centres,
                                tables,
                                drainingServers,
                                drainingVms,
                                last,
                                offsetsOf(last)));
    }

    private static Map<WriterId, LogOffset> offsetsOf(Map<WriterId, Long> sequences) {
        return sequences.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, entry -> new LogOffset(entry.getValue() >>> 1)));
    }

    private static Arbitrary<DataCentreState> dataCentreStates() {
        return Combinators.combine(offsets(), members(), offsets(), starts().injectNull(0.3), terms().injectNull(0.3))
                .as(DataCentreState::new);
    }

    private static Arbitrary<Map<ApplicationId, ShardTable>> shardTables(ApplicationId application) {
        return entries().list().ofMinSize(SHARDS).ofMaxSize(SHARDS + 4).map(parts -> {
            List<ShardTable.Entry> entries = new ArrayList<>();
            Map<Long, Integer> splitKeys = new HashMap<>();
            for (int index = 0; index < parts.size(); index++) {
                boolean mergedBack = index >= SHARDS && parts.get(index).home() == null;
                entries.add(mergedBack ? null : parts.get(index).at(new ShardId(application, index)));
                if (index >= SHARDS && !mergedBack) {
                    splitKeys.put(-7L * index, index);
                }
            }
            return Map.of(application, new ShardTable(SHARDS, entries, splitKeys));
        });
    }

    /** Parts of a shard table entry whose shard index is not known yet. */
    private record EntryParts(
            DataCentreId home, DataCentreId adopter, ServerId owner, List<ServerId> failover, FencingToken token) {
        ShardTable.Entry at(ShardId shard) {
            return new ShardTable.Entry(
                    home, adopter, owner == null ? null : new ShardAssignment(shard, owner, failover, token));
        }
    }

    private static Arbitrary<EntryParts> entries() {
        return Combinators.combine(
                        dataCentres().injectNull(0.2),
                        dataCentres().injectNull(0.7),
                        servers().injectNull(0.2),
                        servers().list().ofMaxSize(3),
                        tokens())
                .as(EntryParts::new);
    }

    /** Returns a state whose shards have random owners, failover servers and plan versions, from a fixed seed. */
    static ReplicaState newStateWithShards(int shardCount, int serverCount) {
        Random random = new Random(1);
        ApplicationId application = new ApplicationId("ledger");
        List<ServerId> servers = new ArrayList<>();
        for (int i = 0; i < serverCount; i++) {
            servers.add(new ServerId("maras-s" + i));
        }
        Term term = new Term(new LogOffset(90_000), 0, new VmStart(new VmId("maras-1"), 123_456_789));
        List<ShardTable.Entry> entries = new ArrayList<>();
        for (int index = 0; index < shardCount; index++) {
            int owner = random.nextInt(serverCount);
            List<ServerId> failover =
                    List.of(servers.get((owner + 1) % serverCount), servers.get((owner + 2) % serverCount));
            FencingToken token = new FencingToken(term, random.nextInt(50));
            entries.add(new ShardTable.Entry(
                    new DataCentreId("maras"),
                    null,
                    new ShardAssignment(new ShardId(application, index), servers.get(owner), failover, token)));
        }
        return new ReplicaState(
                new LogOffset(100_000),
                LogOffset.NONE,
                RoutingConfiguration.EMPTY,
                Map.of(),
                Map.of(application, new ShardTable(shardCount, entries, Map.of())),
                Set.of(),
                Set.of(),
                Map.of(),
                Map.of());
    }
}
