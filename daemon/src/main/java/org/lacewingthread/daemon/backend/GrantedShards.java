package org.lacewingthread.daemon.backend;

import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.FencingToken;

/**
 * JSON form of the shards of one application that a lease order grants under the same fencing token. The
 * shards of a server share a few tokens, so grouping them by token keeps the order small.
 *
 * @param shard application and shard indexes, for example {@code ledger/3,7,12-15}
 * @param token fencing token of the shards
 */
record GrantedShards(String shard, String token) {
    private record Group(ApplicationId application, FencingToken token) implements Comparable<Group> {
        @Override
        public int compareTo(Group other) {
            int byApplication = application.compareTo(other.application);
            return byApplication != 0 ? byApplication : token.compareTo(other.token);
        }
    }

    /** Returns the shards grouped by application and token, in that order. */
    static List<GrantedShards> of(List<ServerOrder.GrantedShard> shards) {
        Map<Group, SortedSet<Integer>> groups = new TreeMap<>();
        for (ServerOrder.GrantedShard granted : shards) {
            Group group = new Group(granted.shard().application(), granted.token());
            groups.computeIfAbsent(group, g -> new TreeSet<>())
                    .add(granted.shard().index());
        }
        return groups.entrySet().stream()
                .map(entry -> new GrantedShards(
                        entry.getKey().application() + "/" + formatRanges(entry.getValue()),
                        entry.getKey().token().toString()))
                .toList();
    }

    private static String formatRanges(SortedSet<Integer> indexes) {
        StringBuilder text = new StringBuilder();
        int first = indexes.first();
        int last = first;
        for (int index : indexes) {
            if (index > last + 1) {
                appendRange(text, first, last);
                first = index;
            }
            last = index;
        }
        appendRange(text, first, last);
        return text.toString();
    }

    private static void appendRange(StringBuilder text, int first, int last) {
        text.append(text.isEmpty() ? "" : ",").append(first);
        if (last > first) {
            text.append('-').append(last);
        }
    }
}
