package org.lacewingthread.standin;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;

/**
 * Runs one stand-in until the process is killed.
 *
 * <pre>
 * log    --port 7000
 * vms    --port 7001 --live maras-1,maras-2 --leaving maras-3
 * server --port 7100 --name maras-s1 --slots 2 --queue-limit 8 --service-millis 5 --answer-bytes 0
 *        --max-connections 130 --checks-tokens true --recognises-idempotency-keys false
 * </pre>
 */
public final class StandInMain {
    private static final int USAGE_ERROR = 2;
    private static final int START_FAILED = 1;
    private static final String USAGE = "usage: log|vms|server [--port N] [--option value ...]";

    private StandInMain() {}

    /**
     * A running stand-in.
     *
     * @param uri base URI
     * @param standIn the stand-in; closing it stops it
     */
    record Started(URI uri, AutoCloseable standIn) {}

    /**
     * Starts the stand-in named by the first argument and waits forever. Exits with 2 if an argument is not
     * valid and with 1 if the port cannot be opened.
     */
    public static void main(String[] args) throws InterruptedException {
        try {
            Started started = start(List.of(args));
            System.out.println(args[0] + " stand-in listens on " + started.uri());
        } catch (IllegalArgumentException e) {
            exitWithError(USAGE_ERROR, e.getMessage() + System.lineSeparator() + USAGE);
        } catch (IOException e) {
            exitWithError(START_FAILED, e.getMessage());
        }
        new CountDownLatch(1).await();
    }

    private static void exitWithError(int exitCode, String message) {
        PrintStream err = System.err;
        err.println(message);
        System.exit(exitCode);
    }

    /**
     * Starts the stand-in named by the first argument, with the options that follow.
     *
     * @throws IllegalArgumentException if an argument is missing or not valid
     * @throws IOException if the port cannot be opened
     */
    static Started start(List<String> args) throws IOException {
        if (args.isEmpty()) {
            throw new IllegalArgumentException("no stand-in is named; give log, vms or server");
        }
        List<String> rest = args.subList(1, args.size());
        return switch (args.get(0)) {
            case "log" -> startLog(StandInOptions.parse(rest, Set.of("port")));
            case "vms" -> startVms(StandInOptions.parse(rest, Set.of("port", "live", "leaving")));
            case "server" -> startServer(StandInOptions.parse(
                    rest,
                    Set.of(
                            "port",
                            "name",
                            "slots",
                            "queue-limit",
                            "service-millis",
                            "answer-bytes",
                            "max-connections",
                            "checks-tokens",
                            "recognises-idempotency-keys",
                            "journal-limit")));
            default -> throw new IllegalArgumentException(
                    "stand-in \"" + args.get(0) + "\" is not known; give log, vms or server");
        };
    }

    private static Started startLog(StandInOptions options) throws IOException {
        LogServiceStandIn log = new LogServiceStandIn(options.port());
        return new Started(log.uri(), log);
    }

    private static Started startVms(StandInOptions options) throws IOException {
        VmListStandIn vms = new VmListStandIn(options.port());
        vms.setListing(new VmListStandIn.Listing(options.list("live"), options.list("leaving")));
        return new Started(vms.uri(), vms);
    }

    private static Started startServer(StandInOptions options) throws IOException {
        BackendSettings defaults = BackendSettings.of(options.text("name", "server"));
        BackendSettings settings = new BackendSettings(
                defaults.server(),
                options.number("slots", defaults.slots()),
                options.number("queue-limit", defaults.queueLimit()),
                options.number("service-millis", (int) defaults.serviceMillis()),
                options.number("answer-bytes", defaults.answerBytes()),
                options.number("max-connections", defaults.maxConnections()),
                options.flag("checks-tokens", defaults.checksTokens()),
                options.flag("recognises-idempotency-keys", defaults.recognisesIdempotencyKeys()),
                options.number("journal-limit", defaults.journalLimit()));
        BackendServerStandIn server = new BackendServerStandIn(options.port(), settings);
        return new Started(server.uri(), server);
    }
}
