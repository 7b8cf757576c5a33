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
 * @param planVersions the plan versions referred to
 * @param placements distinct entries without their plan versions, each as home, adopter, then, if
 *     assigned, owner, term and failover list; -1 stands for none
 * @param shards position in the placements for each shard by index; -1 where a key was merged back
 * @param shardVersions position in the plan versions for each shard by index; -1 if it is not assigned
 * @param splitKeys as in the table
 */
record ShardTableJson(
        ApplicationId application,
        int shardCount,
        List<DataCentreId> dataCentres,
        List<ServerId> servers,
        List<Term> terms,
        List<Long> planVersions,
        List<List<Integer>> placements,
        List<Integer> shards,
        List<Integer> shardVersions,
        Map<Long, Integer> splitKeys) {
    private static final int ABSENT = -1;
    private static final int HOME = 0;
    private static final int ADOPTER = 1;
    private static final int OWNER = 2;
    private static final int TERM = 3;
    private static final int FIRST_FAILOVER = 4;

    static ShardTableJson of(ApplicationId application, ShardTable table) {
        Positions<DataCentreId> dataCentres = new Positions<>();
        Positions<ServerId> servers = new Positions<>();
        Positions<Term> terms = new Positions<>();
        Positions<Long> planVersions = new Positions<>();
        Positions<List<Integer>> placements = new Positions<>();
        List<Integer> shards = new ArrayList<>(table.entries().size());
        List<Integer> shardVersions = new ArrayList<>(table.entries().size());
        for (ShardTable.Entry entry : table.entries()) {
            shards.add(entry == null ? ABSENT : placements.of(toPlacement(entry, dataCentres, servers, terms)));
            boolean assigned = entry != null && entry.assignment() != null;
            shardVersions.add(
                    assigned ? planVersions.of(entry.assignment().token().planVersion()) : ABSENT);
        }
        return new ShardTableJson(
                application,
                table.shardCount(),
                dataCentres.values(),
                servers.values(),
                terms.values(),
                planVersions.values(),
                placements.values(),
                shards,
                shardVersions,
                table.splitKeys());
    }

    private static List<Integer> toPlacement(
            ShardTable.Entry entry,
            Positions<DataCentreId> dataCentres,
            Positions<ServerId> servers,
            Positions<Term> terms) {
        List<Integer> placement = new ArrayList<>();
        placement.add(dataCentres.of(entry.home()));
        placement.add(dataCentres.of(entry.adopter()));
        ShardAssignment assignment = entry.assignment();
        if (assignment == null) {
            return placement;
        }
        placement.add(servers.of(assignment.owner()));
        placement.add(terms.of(assignment.token().term()));
        assignment.failover().forEach(server -> placement.add(servers.of(server)));
        return placement;
    }

    ShardTable toTable() {
        List<ShardTable.Entry> entries = new ArrayList<>(shards.size());
        for (int index = 0; index < shards.size(); index++) {
            entries.add(shards.get(index) == ABSENT ? null : toEntry(index, placements.get(shards.get(index))));
        }
        return new ShardTable(shardCount, entries, splitKeys);
    }

    private ShardTable.Entry toEntry(int index, List<Integer> placement) {
        DataCentreId home = valueAt(dataCentres, placement.get(HOME));
        DataCentreId adopter = valueAt(dataCentres, placement.get(ADOPTER));
        if (placement.size() <= OWNER) {
            return new ShardTable.Entry(home, adopter, null);
        }
        ServerId owner = servers.get(placement.get(OWNER));
        List<ServerId> failover = placement.subList(FIRST_FAILOVER, placement.size()).stream()
                .map(servers::get)
                .toList();
        FencingToken token =
                new FencingToken(terms.get(placement.get(TERM)), planVersions.get(shardVersions.get(index)));
        return new ShardTable.Entry(
                home, adopter, new ShardAssignment(new ShardId(application, index), owner, failover, token));
    }

    private static <T> T valueAt(List<T> values, int position) {
        return position == ABSENT ? null : values.get(position);
    }

    /** Numbers distinct values in the order in which they are first met. */
    private static final class Positions<T> {
        private final Map<T, Integer> positions = new LinkedHashMap<>();

        int of(T value) {
            if (value == null) {
                return ABSENT;
            }
            return positions.computeIfAbsent(value, key -> positions.size());
        }

        List<T> values() {
            return List.copyOf(positions.keySet());
        }
    }
}
