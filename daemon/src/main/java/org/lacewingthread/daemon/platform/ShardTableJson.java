package org.lacewingthread.daemon.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.log.ShardAssignment;
import org.lacewingthread.core.log.ShardTable;

/**
 * JSON form of a {@link ShardTable}. Every distinct value is written once and referred to by its
 * position, so that a table of many shards stays small.
 *
 * @param application the application
 * @param shardCount as in the table
 * @param dataCentres the data centres referred to
 * @param servers the servers referred to
 * @param terms the terms referred to
 * @param placements distinct entries, each as home, adopter, then, if assigned, owner, term, plan
 *     version and failover list; -1 stands for none
 * @param shards position in the placements for each shard by index; -1 where a key was merged back
 * @param splitKeys as in the table
 */
record ShardTableJson(
        ApplicationId application,
        int shardCount,
        List<DataCentreId> dataCentres,
        List<ServerId> servers,
        List<Term> terms,
        List<List<Long>> placements,
        List<Integer> shards,
        Map<Long, Integer> splitKeys) {
    private static final int ABSENT = -1;
    private static final int HOME = 0;
    private static final int ADOPTER = 1;
    private static final int OWNER = 2;
    private static final int TERM = 3;
    private static final int PLAN_VERSION = 4;
    private static final int FIRST_FAILOVER = 5;

    static ShardTableJson of(ApplicationId application, ShardTable table) {
        Positions<DataCentreId> dataCentres = new Positions<>();
        Positions<ServerId> servers = new Positions<>();
        Positions<Term> terms = new Positions<>();
        Positions<List<Long>> placements = new Positions<>();
        List<Integer> shards = new ArrayList<>(table.entries().size());
        for (ShardTable.Entry entry : table.entries()) {
            shards.add(entry == null ? ABSENT : (int) placements.of(placement(entry, dataCentres, servers, terms)));
        }
        return new ShardTableJson(
                application,
                table.shardCount(),
                dataCentres.values(),
                servers.values(),
                terms.values(),
                placements.values(),
                shards,
                table.splitKeys());
    }

    private static List<Long> placement(
            ShardTable.Entry entry,
            Positions<DataCentreId> dataCentres,
            Positions<ServerId> servers,
            Positions<Term> terms) {
        List<Long> placement = new ArrayList<>();
        placement.add(dataCentres.of(entry.home()));
        placement.add(dataCentres.of(entry.adopter()));
        ShardAssignment assignment = entry.assignment();
        if (assignment == null) {
            return placement;
        }
        placement.add(servers.of(assignment.owner()));
        placement.add(terms.of(assignment.token().term()));
        placement.add(assignment.token().planVersion());
        assignment.failover().forEach(server -> placement.add(servers.of(server)));
        return placement;
    }

    ShardTable toTable() {
        List<ShardTable.Entry> entries = new ArrayList<>(shards.size());
        for (int index = 0; index < shards.size(); index++) {
            int position = shards.get(index);
            entries.add(position == ABSENT ? null : entry(index, placements.get(position)));
        }
        return new ShardTable(shardCount, entries, splitKeys);
    }

    private ShardTable.Entry entry(int index, List<Long> placement) {
        DataCentreId home = valueAt(dataCentres, placement.get(HOME));
        DataCentreId adopter = valueAt(dataCentres, placement.get(ADOPTER));
        if (placement.size() <= OWNER) {
            return new ShardTable.Entry(home, adopter, null);
        }
        List<ServerId> failover = placement.subList(FIRST_FAILOVER, placement.size()).stream()
                .map(position -> servers.get(Math.toIntExact(position)))
                .toList();
        FencingToken token =
                new FencingToken(terms.get(Math.toIntExact(placement.get(TERM))), placement.get(PLAN_VERSION));
        ServerId owner = servers.get(Math.toIntExact(placement.get(OWNER)));
        return new ShardTable.Entry(
                home, adopter, new ShardAssignment(new ShardId(application, index), owner, failover, token));
    }

    private static <T> T valueAt(List<T> values, long position) {
        return position == ABSENT ? null : values.get(Math.toIntExact(position));
    }

    /** Numbers distinct values in the order in which they are first met. */
    private static final class Positions<T> {
        private final Map<T, Long> positions = new LinkedHashMap<>();

        long of(T value) {
            if (value == null) {
                return ABSENT;
            }
            return positions.computeIfAbsent(value, key -> (long) positions.size());
        }

        List<T> values() {
            return List.copyOf(positions.keySet());
        }
    }
}
