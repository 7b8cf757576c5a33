package org.lacewingthread.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BackendLeaseContractTest {
    private static final String SHARD = "ledger/12";
    private static final String TOKEN = "10:0:maras-1:5:3";
    private static final String HIGHER_TOKEN = "10:1:maras-2:7:0";
    private static final long LEASE_MILLIS = 1_200;

    private final AtomicLong nanos = new AtomicLong(TimeUnit.HOURS.toNanos(1));
    private BackendServerStandIn server;
    private TestConnection connection;

    @BeforeEach
    void start() throws IOException {
        server = new BackendServerStandIn(0, BackendSettings.of("s1").withChecksTokens(true), nanos::get);
        connection = new TestConnection(server.uri());
    }

    @AfterEach
    void stop() throws IOException {
        connection.close();
        server.close();
    }

    private TestConnection.Reply grant(String token) throws IOException {
        String order = "{\"sequence\":1,\"token\":\"" + token + "\",\"leaseMillis\":" + LEASE_MILLIS
                + ",\"startByMillis\":250,\"shards\":[{\"shard\":\"" + SHARD + "\",\"token\":\"" + token + "\"}]}";
        return connection.call("PUT", "/.lacewingthread/lease", Map.of(), order);
    }

    private TestConnection.Reply release(String token) throws IOException {
        String order = "{\"sequence\":2,\"token\":\"" + token + "\",\"shards\":[\"" + SHARD + "\"]}";
        return connection.call("POST", "/.lacewingthread/release", Map.of(), order);
    }

    private TestConnection.Reply request(String shard, String token) throws IOException {
        return connection.call("GET", "/", Map.of("Lacewingthread-Shard", shard, "Lacewingthread-Token", token), "");
    }

    /** Columns: milliseconds since the grant, shard and token of the request, expected status. */
    @ParameterizedTest
    @CsvSource({
        "0,    ledger/12, 10:0:maras-1:5:3, 200",
        "1199, ledger/12, 10:0:maras-1:5:3, 200",
        "1200, ledger/12, 10:0:maras-1:5:3, 409",
        "0,    ledger/13, 10:0:maras-1:5:3, 409",
        "0,    ledger/12, 10:0:maras-1:5:2, 409",
        "0,    ledger/12, 9:9:maras-1:5:3,  409",
        "0,    ledger/12, 10:0:calca-1:5:3, 409",
        "0,    ledger/12, 10:0:maras-1:5:4, 200"
    })
    void requestRunsOnlyUnderValidLeaseAndToken(long ageMillis, String shard, String token, int status)
            throws IOException {
        assertThat(grant(TOKEN).body()).isEqualTo("{\"sequence\":1,\"accepted\":true}");
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(ageMillis));

        TestConnection.Reply reply = request(shard, token);

        assertThat(reply.status()).isEqualTo(status);
        assertThat(reply.isNotRun()).isEqualTo(status == 409);
        assertThat(server.runs()).hasSize(status == 409 ? 0 : 1);
    }

    @Test
    void requestWithoutShardOrTokenIsRefused() throws IOException {
        TestConnection.Reply reply = connection.get("/", "r1");

        assertThat(reply.status()).isEqualTo(409);
        assertThat(reply.isNotRun()).isTrue();
    }

    @Test
    void renewalExtendsLease() throws IOException {
        grant(TOKEN);
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(1_000));
        grant(TOKEN);
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(1_000));

        assertThat(request(SHARD, TOKEN).status()).isEqualTo(200);
        assertThat(server.heldShards()).containsExactly(SHARD);
    }

    @Test
    void grantWithLowerTokenIsRefused() throws IOException {
        grant(HIGHER_TOKEN);

        TestConnection.Reply reply = grant(TOKEN);

        assertThat(reply.status()).isEqualTo(409);
        assertThat(reply.body()).isEqualTo("{\"sequence\":1,\"accepted\":false}");
        assertThat(request(SHARD, HIGHER_TOKEN).status()).isEqualTo(200);
    }

    @Test
    void releaseEndsLeaseAndInvalidatesLowerToken() throws IOException {
        grant(TOKEN);

        assertThat(release(HIGHER_TOKEN).body()).isEqualTo("{\"sequence\":2,\"accepted\":true}");
        assertThat(server.heldShards()).isEmpty();
        assertThat(request(SHARD, TOKEN).status()).isEqualTo(409);
        assertThat(grant(TOKEN).status()).isEqualTo(409);
    }

    @Test
    void aReleaseBelowTheHighestTokenIsRefused() throws IOException {
        grant(HIGHER_TOKEN);

        assertThat(release(TOKEN).status()).isEqualTo(409);
        assertThat(server.heldShards()).containsExactly(SHARD);
    }

    @Test
    void releaseIsAnsweredAfterRunningRequestsOfShardEnd() throws IOException {
        grant(TOKEN);
        server.setFaults(BackendFaults.NONE.withServiceMillis(300));
        try (TestConnection running = new TestConnection(server.uri())) {
            running.send("GET", "/", Map.of("Lacewingthread-Shard", SHARD, "Lacewingthread-Token", TOKEN), "");
            await().until(() -> server.runs().size() == 1);

            assertThat(release(HIGHER_TOKEN).status()).isEqualTo(200);

            assertThat(server.runs().get(0).hasEnded()).isTrue();
            assertThat(running.receive().status()).isEqualTo(200);
        }
    }

    @Test
    void leaseThatExpiresWhileServerIsFrozenIsInvalidAfterwards() throws IOException {
        grant(TOKEN);
        server.setFaults(BackendFaults.NONE.withFrozen(true));
        connection.send("GET", "/", Map.of("Lacewingthread-Shard", SHARD, "Lacewingthread-Token", TOKEN), "");
        assertThat(connection.isSilent()).isTrue();
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(LEASE_MILLIS));
        server.setFaults(BackendFaults.NONE);

        assertThat(connection.receive().status()).isEqualTo(409);
        assertThat(server.runs()).isEmpty();
    }

    @Test
    void grantReadAfterItsStartByTimeIsRefused() throws IOException {
        server.setFaults(BackendFaults.NONE.withFrozen(true));
        connection.send(
                "PUT",
                "/.lacewingthread/lease",
                Map.of(),
                "{\"sequence\":1,\"token\":\"" + TOKEN + "\",\"leaseMillis\":1200,\"startByMillis\":250,"
                        + "\"shards\":[{\"shard\":\"ledger/12\",\"token\":\"" + TOKEN + "\"}]}");
        assertThat(connection.isSilent()).isTrue();
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(251));
        server.setFaults(BackendFaults.NONE);

        assertThat(connection.receive().status()).isEqualTo(503);
        assertThat(server.heldShards()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/.lacewingthread/lease   | PUT  | not json",
                "/.lacewingthread/lease   | PUT  | {\"shards\":[{\"shard\":\"ledger\",\"token\":\"1:0:a:1:1\"}]}",
                "/.lacewingthread/lease   | PUT  | {\"shards\":[{\"shard\":\"ledger/1\",\"token\":\"1:0:a:1\"}]}",
                "/.lacewingthread/lease   | PUT  | {\"shards\":[{\"shard\":\"ledger/1\"}]}",
                "/.lacewingthread/lease   | PUT  | {\"shards\":[{\"shard\":\"ledger/5-3\",\"token\":\"1:0:a:1:1\"}]}",
                "/.lacewingthread/lease   | PUT  | {\"shards\":[{\"shard\":\"ledger/1,\",\"token\":\"1:0:a:1:1\"}]}",
                "/.lacewingthread/release | POST | {\"shards\":[\"ledger/1\"],\"token\":\"x\"}",
                "/.lacewingthread/release | POST | {\"shards\":[\"ledger/1\"]}"
            })
    void invalidOrderIsRefused(String path, String method, String body) throws IOException {
        TestConnection.Reply reply = connection.call(method, path, Map.of(), body);

        assertThat(reply.status()).isEqualTo(400);
        assertThat(reply.body()).contains("message");
        assertThat(server.heldShards()).isEmpty();
    }

    @Test
    void leasesEndpointReturnsLeasePeriods() throws IOException {
        grant(TOKEN);
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(100));
        release(HIGHER_TOKEN);
        long startMicros = TimeUnit.HOURS.toMicros(1);

        TestConnection.Reply reply = connection.get("/.standin/leases", "x");

        assertThat(reply.body())
                .isEqualTo("{\"leases\":[{\"server\":\"s1\",\"shard\":\"ledger/12\",\"token\":\"" + TOKEN
                        + "\",\"fromMicros\":" + startMicros + ",\"untilMicros\":" + (startMicros + 100_000) + "}]}");
    }
}
