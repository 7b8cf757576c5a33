package org.lacewingthread.daemon.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.control.ServerOrder.GrantedShard;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ShardId;

class GrantedShardsTest {
    private static final String OLD = "3:0:maras-1:7:1";
    private static final String NEW = "3:0:maras-1:7:2";

    @Test
    void shardsAreGroupedByApplicationAndToken() {
        List<GrantedShard> shards = Stream.of(
                        granted("ledger", NEW, 4, 2),
                        granted("customs", OLD, 9),
                        granted("ledger", OLD, 3, 7, 8, 9, 12))
                .flatMap(stream -> stream)
                .toList();
        assertThat(GrantedShards.of(shards))
                .containsExactly(
                        new GrantedShards("customs/9", OLD),
                        new GrantedShards("ledger/3,7-9,12", OLD),
                        new GrantedShards("ledger/2,4", NEW));
    }

    private static Stream<GrantedShard> granted(String application, String token, int... indexes) {
        return IntStream.of(indexes)
                .mapToObj(index -> new GrantedShard(
                        new ShardId(new ApplicationId(application), index), FencingToken.parse(token)));
    }
}
