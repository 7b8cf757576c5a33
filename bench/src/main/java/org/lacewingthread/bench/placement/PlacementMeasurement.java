package org.lacewingthread.bench.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/**
 * Prints, as a Markdown table, what each {@link Scenario} costs each {@link Customer}: owner changes,
 * unavailable time and imbalance, in virtual time with the real control core, beside plain baselines.
 *
 * <p>A {@link Baseline} moves a shard when its function of the list of servers gives another owner; as
 * it keeps no record of moves, the next owner waits until the last lease under the old list ran out.
 *
 * <pre>{@code
 * java -cp bench/target/classes:... org.lacewingthread.bench.placement.PlacementMeasurement [seed] [zipf exponent]
 * }</pre>
 */
public final class PlacementMeasurement {
    private static final long DEFAULT_SEED = 20_261_203;
    private static final double DEFAULT_EXPONENT = 0.8;
    private static final long WARM_UP_MILLIS = 120_000;

    private final long seed;
    private final double exponent;

    private PlacementMeasurement(long seed, double exponent) {
        this.seed = seed;
        this.exponent = exponent;
    }

    /** Runs all scenarios; the arguments are a seed and the exponent of the keys' Zipf law. */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : DEFAULT_SEED;
        double exponent = args.length > 1 ? Double.parseDouble(args[1]) : DEFAULT_EXPONENT;
        new PlacementMeasurement(seed, exponent).run();
    }

    private void run() {
        print(
                "Seed %d, Zipf exponent %.2f, 1,024 shards an application, server loss noticed after %d ms.",
                seed, exponent, VirtualVm.NOTICE_MILLIS);
        print("");
        print("| customer | event | placement | had to move | owner changes | unavailable, affected: max / mean ms"
                + " | unavailable, others: max ms | imbalance before / after |");
        print("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (Customer customer : Customer.values()) {
            for (Scenario scenario : Scenario.values()) {
                measure(customer, scenario);
                for (Baseline baseline : Baseline.values()) {
                    compare(customer, scenario, baseline);
                }
            }
        }
    }

    private void measure(Customer customer, Scenario scenario) {
        VirtualDeployment deployment = new VirtualDeployment(customer, seed, exponent);
        ServiceWatch watch = new ServiceWatch(deployment);
        deployment.queue.runFor(WARM_UP_MILLIS);
        requireServed(customer, watch);
        double before = imbalance(customer, deployment, watch);
        Map<ShardId, ServerId> ownersBefore = watch.owners();
        ServerId victim = Scenario.victim(watch, customer);
        long hadToMove = scenario.losesServer
                ? ownersBefore.values().stream().filter(victim::equals).count()
                : 0;
        watch.start();
        Set<ShardId> affected = scenario.strike(deployment, watch, customer);
        deployment.queue.runFor(scenario.lengthSeconds * 1_000);
        Set<ShardId> moved = new HashSet<>(affected);
        watch.owners().forEach((shard, owner) -> {
            if (!owner.equals(ownersBefore.getOrDefault(shard, owner))) {
                moved.add(shard);
            }
        });
        long max = moved.stream().mapToLong(watch::unservedMillis).max().orElse(0);
        double mean = moved.stream().mapToLong(watch::unservedMillis).average().orElse(0);
        long others = ownersBefore.keySet().stream()
                .filter(s -> !moved.contains(s))
                .mapToLong(watch::unservedMillis)
                .max()
                .orElse(0);
        print(
                "| %s | %s | lacewingthread | %d | %d | %d / %.0f | %d | %.2f / %.2f |%s",
                lower(customer),
                lower(scenario),
                hadToMove,
                watch.ownerChanges(),
                max,
                mean,
                others,
                before,
                imbalance(customer, deployment, watch),
                watch.doubleOwners() == 0 ? "" : " TWO OWNERS in " + watch.doubleOwners() + " samples");
    }

    private static void requireServed(Customer customer, ServiceWatch watch) {
        int expected = customer.configuration(0).applications().stream()
                .mapToInt(a -> a.shardCount())
                .sum();
        if (watch.owners().size() < expected) {
            throw new IllegalStateException(
                    "only " + watch.owners().size() + " of " + expected + " shards were ever served");
        }
    }

    private double imbalance(Customer customer, VirtualDeployment deployment, ServiceWatch watch) {
        Map<ShardId, ServerLoad.ShardLoad> loads = deployment.shardLoads(deployment.state());
        RoutingConfiguration configuration = deployment.state().configuration();
        Set<ServerId> up = new HashSet<>();
        deployment.servers.forEach((id, server) -> {
            if (server.up && !deployment.state().drainingServers().contains(id)) {
                up.add(id);
            }
        });
        return imbalance(customer.first, configuration, watch.owners(), loads, up);
    }

    private static double imbalance(
            ApplicationId application,
            RoutingConfiguration configuration,
            Map<ShardId, ServerId> owners,
            Map<ShardId, ServerLoad.ShardLoad> loads,
            Set<ServerId> up) {
        Map<ServerId, Double> byServer = new HashMap<>();
        for (ServerSpec server :
                configuration.groupOf(configuration.application(application).orElseThrow())) {
            if (up.contains(server.id())) {
                byServer.put(server.id(), 0.0);
            }
        }
        owners.forEach((shard, server) -> {
            if (shard.application().equals(application) && loads.containsKey(shard)) {
                byServer.merge(server, loads.get(shard).requestsPerSecond(), Double::sum);
            }
        });
        double max = byServer.values().stream().mapToDouble(d -> d).max().orElse(0);
        double mean = byServer.values().stream().mapToDouble(d -> d).average().orElse(1);
        return max / mean;
    }

    private void compare(Customer customer, Scenario scenario, Baseline baseline) {
        boolean joins = scenario == Scenario.SERVER_JOINED;
        boolean comparable = joins || scenario == Scenario.SERVER_LOST || scenario == Scenario.SERVER_DRAINED;
        if (!comparable) {
            return;
        }
        RoutingConfiguration configuration = customer.configuration(joins ? 1 : 0);
        List<ServerId> all = new ArrayList<>();
        configuration
                .groupOf(configuration.application(customer.first).orElseThrow())
                .forEach(s -> all.add(s.id()));
        List<ServerId> before = new ArrayList<>(all);
        List<ServerId> after = new ArrayList<>(all);
        (joins ? before : after).remove(all.get(joins ? all.size() - 1 : 0));
        ZipfLoad load =
                new ZipfLoad(customer.first, configuration.applications().get(0).shardCount(), exponent, seed);
        Map<ShardId, ServerLoad.ShardLoad> loads = load.byShard(null);
        Map<ShardId, ServerId> ownersBefore = place(baseline, before, loads.keySet());
        Map<ShardId, ServerId> ownersAfter = place(baseline, after, loads.keySet());
        long moved = loads.keySet().stream()
                .filter(s -> !ownersBefore.get(s).equals(ownersAfter.get(s)))
                .count();
        long hadTo = joins
                ? 0
                : ownersBefore.values().stream().filter(all.get(0)::equals).count();
        ControlSettings settings = ControlSettings.DEFAULT;
        long waitMillis = settings.lengthened(settings.dispatchLeaseMillis()) + settings.startByMillis();
        long lost = scenario == Scenario.SERVER_LOST ? VirtualVm.NOTICE_MILLIS : 0;
        print(
                "| %s | %s | %s | %d | %d | %d / %d | 0 | %.2f / %.2f |",
                lower(customer),
                lower(scenario),
                lower(baseline),
                hadTo,
                moved,
                lost + waitMillis,
                lost + waitMillis,
                imbalance(customer.first, configuration, ownersBefore, loads, new HashSet<>(before)),
                imbalance(customer.first, configuration, ownersAfter, loads, new HashSet<>(after)));
    }

    private static Map<ShardId, ServerId> place(Baseline baseline, List<ServerId> servers, Set<ShardId> shards) {
        Baseline.Placement placement = baseline.over(servers);
        Map<ShardId, ServerId> owners = new HashMap<>();
        shards.forEach(s -> owners.put(s, placement.of(s)));
        return owners;
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    @SuppressWarnings({"AnnotateFormatMethod", "SystemOut"})
    private static void print(String format, Object... arguments) {
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }
}
