package org.lacewingthread.bench;

import java.io.IOException;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Options of a {@link LoadCommand}.
 *
 * @param target base URL; must be on the loopback interface
 * @param ratePerSecond requests per second, sent at even intervals independently of the answers
 * @param warmUpSeconds length of the warm-up, whose requests are not reported
 * @param seconds length of the measurement after the warm-up
 * @param maxRequests maximum number of requests in the measurement
 * @param connections maximum number of open connections
 * @param keys number of different keys
 * @param hotKeyShare fraction of the requests that use one particular key, from 0 to 1
 * @param deadlineMillis deadline sent with each request; later answers do not count as goodput
 * @param kinds kinds of requests and their weights
 * @param seed seed of the random choice of kinds and keys
 */
record LoadOptions(
        URI target,
        int ratePerSecond,
        int warmUpSeconds,
        int seconds,
        int maxRequests,
        int connections,
        int keys,
        double hotKeyShare,
        int deadlineMillis,
        List<Kind> kinds,
        long seed) {
    private static final int MAX_RATE_PER_SECOND = 100_000;
    private static final int MAX_SECONDS = 600;
    private static final int MAX_REQUESTS = 10_000_000;
    private static final int MAX_CONNECTIONS = 2_000;
    private static final int MAX_DEADLINE_MILLIS = 60_000;

    /**
     * One kind of request.
     *
     * @param name name shown in the report
     * @param method HTTP method
     * @param pathTemplate path with the placeholder {@code {key}}
     * @param weight share of the requests, relative to the other weights
     * @param withIdempotencyKey whether each request has a unique idempotency key
     */
    record Kind(String name, String method, String pathTemplate, int weight, boolean withIdempotencyKey) {
        Kind {
            if (!pathTemplate.startsWith("/") || !pathTemplate.contains("{key}")) {
                throw new IllegalArgumentException("path \"" + pathTemplate + "\" of " + name
                        + " requests must start with \"/\" and contain \"{key}\"");
            }
            requireRange("weight of " + name, weight, 0, 1_000_000);
        }
    }

    LoadOptions {
        requireRange("rate", ratePerSecond, 1, MAX_RATE_PER_SECOND);
        requireRange("warm-up-seconds", warmUpSeconds, 0, MAX_SECONDS);
        requireRange("seconds", seconds, 1, MAX_SECONDS);
        requireRange("requests", maxRequests, 1, MAX_REQUESTS);
        requireRange("connections", connections, 1, MAX_CONNECTIONS);
        requireRange("keys", keys, 1, Integer.MAX_VALUE);
        requireRange("deadline-millis", deadlineMillis, 1, MAX_DEADLINE_MILLIS);
        if (hotKeyShare < 0 || hotKeyShare > 1) {
            throw new IllegalArgumentException("hot-key-share " + hotKeyShare + " is not in 0 to 1");
        }
        if (kinds.stream().mapToInt(Kind::weight).sum() == 0) {
            throw new IllegalArgumentException("all weights are 0; give at least one kind of request a weight");
        }
        requireLoopback(target);
    }

    private static void requireRange(String name, int value, int min, int max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(name + " " + value + " is not in " + min + " to " + max);
        }
    }

    private static void requireLoopback(URI target) {
        try {
            if (!"http".equals(target.getScheme())
                    || target.getPort() < 0
                    || !InetAddress.getByName(target.getHost()).isLoopbackAddress()) {
                throw new IllegalArgumentException(
                        "url \"" + target + "\" is not http with a port on the loopback interface");
            }
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("host of url \"" + target + "\" is not known", e);
        }
    }

    int warmUpRequests() {
        return Math.multiplyExact(ratePerSecond, warmUpSeconds);
    }

    int countedRequests() {
        return (int) Math.min(maxRequests, (long) ratePerSecond * seconds);
    }

    /**
     * Parses the command line.
     *
     * @throws IllegalArgumentException if an option is unknown, missing or out of range
     */
    static LoadOptions parse(String... args) {
        OptionParser parser = new OptionParser();
        OptionSpec<String> url = parser.accepts("url").withRequiredArg().required();
        OptionSpec<Integer> rate = number(parser, "rate", 500);
        OptionSpec<Integer> warmUpSeconds = number(parser, "warm-up-seconds", 2);
        OptionSpec<Integer> seconds = number(parser, "seconds", 10);
        OptionSpec<Integer> requests = number(parser, "requests", MAX_REQUESTS);
        OptionSpec<Integer> connections = number(parser, "connections", 100);
        OptionSpec<Integer> keys = number(parser, "keys", 10_000);
        OptionSpec<Integer> deadline = number(parser, "deadline-millis", 1_000);
        OptionSpec<Double> hotKeyShare = parser.accepts("hot-key-share")
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(0.0);
        OptionSpec<Integer> mix = parser.accepts("mix", "weights of lookup,deferrable,non-repeatable")
                .withRequiredArg()
                .ofType(Integer.class)
                .withValuesSeparatedBy(',')
                .defaultsTo(70, 20, 10);
        OptionSpec<String> lookup =
                parser.accepts("lookup-path").withRequiredArg().defaultsTo("/rugs/{key}");
        OptionSpec<String> deferrable =
                parser.accepts("deferrable-path").withRequiredArg().defaultsTo("/history/{key}");
        OptionSpec<String> nonRepeatable =
                parser.accepts("non-repeatable-path").withRequiredArg().defaultsTo("/holds/{key}");
        OptionSpec<Long> seed =
                parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
        try {
            OptionSet set = parser.parse(args);
            List<Integer> weights = set.valuesOf(mix);
            requireRange("number of weights in mix", weights.size(), 3, 3);
            return new LoadOptions(
                    URI.create(set.valueOf(url)),
                    set.valueOf(rate),
                    set.valueOf(warmUpSeconds),
                    set.valueOf(seconds),
                    set.valueOf(requests),
                    set.valueOf(connections),
                    set.valueOf(keys),
                    set.valueOf(hotKeyShare),
                    set.valueOf(deadline),
                    List.of(
                            new Kind("lookup", "GET", set.valueOf(lookup), weights.get(0), false),
                            new Kind("deferrable", "GET", set.valueOf(deferrable), weights.get(1), false),
                            new Kind("non-repeatable", "POST", set.valueOf(nonRepeatable), weights.get(2), true)),
                    set.valueOf(seed));
        } catch (OptionException e) {
            throw new IllegalArgumentException(e.getMessage() + System.lineSeparator() + help(parser), e);
        }
    }

    private static OptionSpec<Integer> number(OptionParser parser, String name, int defaultValue) {
        return parser.accepts(name).withRequiredArg().ofType(Integer.class).defaultsTo(defaultValue);
    }

    private static String help(OptionParser parser) {
        StringWriter out = new StringWriter();
        try {
            parser.printHelpOn(out);
        } catch (IOException e) {
            throw new IllegalStateException("option help could not be printed", e);
        }
        return out.toString();
    }
}
