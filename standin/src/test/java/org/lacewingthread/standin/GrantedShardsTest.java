package org.lacewingthread.standin;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class GrantedShardsTest {
    @Test
    void listsAndRangesExpandToSingleShards() {
        assertThat(new GrantedShards("ledger/3,7,12-15", "1:0:a:1:1").expand())
                .extracting(LeaseTable.ShardGrant::shard)
                .containsExactly("ledger/3", "ledger/7", "ledger/12", "ledger/13", "ledger/14", "ledger/15");
    }
}
