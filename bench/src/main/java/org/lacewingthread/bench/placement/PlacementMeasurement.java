package org.lacewingthread.bench.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/**
 * Prints a Markdown table of owner changes, unavailable time and load imbalance for each {@link Scenario} and
 * {@link Customer}. The production control core runs in simulated time; scenarios that concern a single server are
 * compared with each {@link Baseline}.
 *
 * <pre>{@code
 * java -cp bench/target/classes:core/target/classes:zero-allocation-hashing-0.16.jar \
 *     org.lacewingthread.bench.placement.PlacementMeasurement [seed] [zipf exponent]
 * }</pre>
 */
public final class PlacementMeasurement {
    private static final long DEFAULT_SEED = 20_261_203;
    private static final double DEFAULT_EXPONENT = 0.8;
    private static final long WARM_UP_MILLIS = 90_000;
    private static final Set<Scenario> SINGLE_SERVER_SCENARIOS =
            Set.of(Scenario.SERVER_LOST, Scenario.SERVER_DRAINED, Scenario.SERVER_JOINED);

    private final long seed;
    private final double exponent;

    private record Case(Customer customer, Scenario scenario) {}

    private PlacementMeasurement(long seed, double exponent) {
        this.seed = seed;
        this.exponent = exponent;
    }

    /** Runs all scenarios. Optional arguments are the seed and the exponent of the Zipf distribution of keys. */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : DEFAULT_SEED;
        double exponent = args.length > 1 ? Double.parseDouble(args[1]) : DEFAULT_EXPONENT;
        new PlacementMeasurement(seed, exponent).run();
    }

    private void run() {
        print(format(
                "Seed %d, Zipf exponent %.2f, 1,024 shards an application, server loss noticed after %d ms.",
                seed, exponent, SimulatedEntryVm.LOSS_DETECTION_MILLIS));
        print("Imbalance: over all data centres, and in the data centre where it is highest.");
        print("");
        print("| customer | event | placement | had to move | owner changes | unavailable, affected: max / mean ms"
                + " | unavailable, others: max ms | imbalance before | imbalance after |");
        print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        Arrays.stream(Customer.values())
                .flatMap(c -> Arrays.stream(Scenario.values()).map(s -> new Case(c, s)))
                .parallel()
                .map(this::rows)
                .forEachOrdered(rows -> rows.forEach(PlacementMeasurement::print));
    }

    private List<String> rows(Case measured) {
        List<String> rows = new ArrayList<>();
        rows.add(measureRow(measured.customer(), measured.scenario()));
        if (SINGLE_SERVER_SCENARIOS.contains(measured.scenario())) {
            for (Baseline baseline : Baseline.values()) {
                rows.add(baselineRow(measured, baseline));
            }
        }
        return rows;
    }

    private String measureRow(Customer customer, Scenario scenario) {
        SimulatedDeployment deployment = new SimulatedDeployment(customer, seed, exponent);
        ShardServiceMonitor monitor = new ShardServiceMonitor(deployment);
        deployment.queue.runFor(WARM_UP_MILLIS);
        Map<ShardId, ServerId> ownersBefore = monitor.owners();
        requireAllServed(customer, ownersBefore);
        Imbalance before = imbalance(customer, deployment, monitor);
        ServerId busiestServer = Scenario.busiestServer(monitor, customer);
        long requiredMoves = scenario.losesServer
                ? ownersBefore.values().stream().filter(busiestServer::equals).count()
                : 0;
        monitor.startMeasurement();
        Set<ShardId> affected = new HashSet<>(scenario.apply(deployment, monitor, customer));
        deployment.queue.runFor(scenario.durationSeconds * 1_000);
        monitor.owners().forEach((shard, owner) -> {
            if (!owner.equals(ownersBefore.getOrDefault(shard, owner))) {
                affected.add(shard);
            }
        });
        long maxMillis =
                affected.stream().mapToLong(monitor::unservedMillis).max().orElse(0);
        double meanMillis =
                affected.stream().mapToLong(monitor::unservedMillis).average().orElse(0);
        long maxOthersMillis = ownersBefore.keySet().stream()
                .filter(s -> !affected.contains(s))
                .mapToLong(monitor::unservedMillis)
                .max()
                .orElse(0);
        String doubleOwnerNote =
                monitor.doubleOwnerSamples() == 0 ? "" : " TWO OWNERS in " + monitor.doubleOwnerSamples() + " samples";
        return format(
                "| %s | %s | lacewingthread | %d | %d | %d / %.0f | %d | %s | %s |%s",
                displayName(customer),
                displayName(scenario),
                requiredMoves,
                monitor.ownerChanges(),
                maxMillis,
                meanMillis,
                maxOthersMillis,
                before,
                imbalance(customer, deployment, monitor),
                doubleOwnerNote);
    }

    private static void requireAllServed(Customer customer, Map<ShardId, ServerId> owners) {
        int expected = customer.configuration(0).applications().size() * Customer.SHARDS;
        if (owners.size() < expected) {
            throw new IllegalStateException(
                    "only " + owners.size() + " of " + expected + " shards were served during warm-up");
        }
    }

    private static Imbalance imbalance(Customer customer, SimulatedDeployment deployment, ShardServiceMonitor monitor) {
        RoutingConfiguration configuration = deployment.newestState().configuration();
        Map<ServerId, DataCentreId> servers = new HashMap<>();
        for (ServerSpec server : configuration.eligibleServers(
                configuration.application(customer.firstApplication).orElseThrow())) {
            boolean draining = deployment.newestState().drainingServers().contains(server.id());
            if (deployment.servers.get(server.id()).up && !draining) {
                servers.put(server.id(), server.dataCentre());
            }
        }
        return Imbalance.of(
                customer.firstApplication, servers, monitor.owners(), deployment.shardLoads(deployment.newestState()));
    }

    private String baselineRow(Case compared, Baseline baseline) {
        BaselineComparison comparison =
                BaselineComparison.of(compared.customer(), compared.scenario(), baseline, exponent, seed);
        return format(
                "| %s | %s | %s | %d | %d | %d / %d | 0 | %s | %s |",
                displayName(compared.customer()),
                displayName(compared.scenario()),
                displayName(baseline),
                compared.scenario() == Scenario.SERVER_JOINED ? 0 : comparison.requiredMoves(),
                comparison.movedShards(),
                comparison.unavailableMillis(),
                comparison.unavailableMillis(),
                comparison.imbalanceBefore(),
                comparison.imbalanceAfter());
    }

    private static String displayName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static String format(String format, Object... arguments) {
        return String.format(Locale.ROOT, format, arguments);
    }

    private static void print(String line) {
        System.out.println(line);
    }
}
