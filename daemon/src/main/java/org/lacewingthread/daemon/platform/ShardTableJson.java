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
 * JSON form of a {@link ShardTable}. It is dictionary-encoded: every distinct value is written once and referred to by
 * its position in a list, which keeps tables of many shards small.
 *
 * @param application id of the application that the table belongs to
 * @param shardCount number of shards, as in the table
 * @param dataCentres distinct data centres
 * @param servers distinct servers
 * @param terms distinct terms
 * @param planVersions distinct plan versions
 * @param placements distinct entries without their plan versions; each lists the positions of the home and the adopter
 *     and, if the shard is assigned, of the owner, the term and the failover servers; -1 stands for no value
 * @param shards position in the placements for each shard by index; -1 where a key was merged back
 * @param shardVersions position in the plan versions for each shard by index; -1 if the shard is not assigned
 * @param splitKeys shard index of each split key, as in the table
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
        ValueDictionary<DataCentreId> dataCentres = new ValueDictionary<>();
        ValueDictionary<ServerId> servers = new ValueDictionary<>();
        ValueDictionary<Term> terms = new ValueDictionary<>();
        ValueDictionary<Long> planVersions = new ValueDictionary<>();
        ValueDictionary<List<Integer>> placements = new ValueDictionary<>();
        List<Integer> shards = new ArrayList<>(table.entries().size());
        List<Integer> shardVersions = new ArrayList<>(table.entries().size());
        for (ShardTable.Entry entry : table.entries()) {
            shards.add(entry == null ? ABSENT : placements.positionOf(toPlacement(entry, dataCentres, servers, terms)));
            boolean assigned = entry != null && entry.assignment() != null;
            shardVersions.add(
                    assigned
                            ? planVersions.positionOf(entry.assignment().token().planVersion())
                            : ABSENT);
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
            ValueDictionary<DataCentreId> dataCentres,
            ValueDictionary<ServerId> servers,
            ValueDictionary<Term> terms) {
        List<Integer> placement = new ArrayList<>();
        placement.add(dataCentres.positionOf(entry.home()));
        placement.add(dataCentres.positionOf(entry.adopter()));
        ShardAssignment assignment = entry.assignment();
        if (assignment == null) {
            return placement;
        }
        placement.add(servers.positionOf(assignment.owner()));
        placement.add(terms.positionOf(assignment.token().term()));
        assignment.failover().forEach(server -> placement.add(servers.positionOf(server)));
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

    /** Assigns positions to distinct values in the order of their first occurrence. */
    private static final class ValueDictionary<T> {
        private final Map<T, Integer> positions = new LinkedHashMap<>();

        int positionOf(T value) {
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
