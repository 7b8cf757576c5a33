import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import standin.Backend;
import standin.Caller;
import standin.Router;
import standin.Standins;
import standin.Store;

/**
 * Some seconds after the first configuration, the store comes back from a copy that is 5 s old, and the routers are killed
 * and start again. Checks whether two backends hold the same keys for over half a second.
 */
public final class Case2 {
    private static final long COPY_AGE_MILLIS = 5_000;
    private static final long AWAY_MILLIS = 300;
    private static final long RESTART_MILLIS = 200;
    private static final long MAX_OVERLAP_MILLIS = 500;
    private static final int CALLERS = 24;

    private final List<Backend> backends = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    /** Since when two backends hold a key, by key and backends. */
    private final Map<String, Long> sinceMillis = new HashMap<>();

    private long longestMillis;
    private String longest = "none";
    private volatile boolean ended;

    public static void main(String[] arguments) throws Exception {
        String trouble = System.getenv().getOrDefault("TROUBLE", "1");
        int status;
        try {
            status = new Case2().play(!trouble.equals("0") && !trouble.equals("kill"), !trouble.equals("0") && !trouble.equals("drill"));
        } catch (IOException e) {
            Standins.record("the case could not run: " + e);
            status = 2;
        }
        Standins.writeRecord(Path.of("review/2/record.txt"));
        Router.killAll();
        Runtime.getRuntime().halt(status);
    }

    private int play(boolean drill, boolean kill) throws IOException {
        Path folder = Files.createTempDirectory("review2-");
        Store store = new Store();
        for (int i = 0; i < 4; i++) {
            Backend backend = new Backend("i-cat" + i, "catalogue", "maras", 2, true, store);
            backend.workMillis = 60;
            backends.add(backend);
        }
        for (int i = 1; i <= 3; i++) {
            Router router = new Router("front-maras-" + i, "maras", store.address(), folder);
            router.start();
            routers.add(router);
        }
        Standins.sleep(3_000);
        Map<String, Integer> copy = store.copy();
        long copiedMillis = Standins.now();
        Standins.record("the store's copy is made");
        Standins.sleep(500);
        store.put("keyed.op", "config", CONFIGURATION);
        Standins.record("the first configuration is written");
        for (Router router : routers) {
            router.awaitReady();
        }
        for (int i = 0; i < CALLERS; i++) {
            Standins.run(this::send);
        }
        Standins.run(this::watch);
        Standins.sleep(copiedMillis + COPY_AGE_MILLIS - Standins.now());
        if (drill) {
            store.goAway();
        }
        if (kill) {
            for (Router router : routers) {
                router.signal("KILL");
            }
            Standins.sleep(RESTART_MILLIS);
            for (Router router : routers) {
                router.start();
            }
        }
        if (drill) {
            Standins.sleep(AWAY_MILLIS - (kill ? RESTART_MILLIS : 0));
            store.comeBack(copy);
            store.put("keyed.op", "config", CONFIGURATION);
            backends.forEach(Backend::registerAgain);
            Standins.record("the store is back from the copy, and the configuration and the entries are written again");
        }
        Standins.sleep(10_000);
        ended = true;
        for (Backend.Take take : List.copyOf(Backend.TAKES)) {
            Standins.record("grant in effect: " + take);
        }
        int ran = backends.stream().mapToInt(backend -> backend.ran.size()).sum();
        Standins.record("requests sent " + requests + ", answered or refused " + answers + ", run " + ran);
        Standins.record("checked: the longest time for which two backends held the same key was " + longestMillis + " ms: "
                + longest);
        boolean broken = longestMillis > MAX_OVERLAP_MILLIS;
        Standins.record(broken ? "BROKEN: OWNER" : "held");
        return broken ? 1 : 0;
    }

    private void send() {
        while (!ended) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            // Most requests are for a few neighbouring keys, so that some of these move.
            int key = random.nextInt(10) < 7 ? random.nextInt(2_000) : random.nextInt(65_536);
            try (Caller caller = new Caller(routers.get(random.nextInt(routers.size())).front)) {
                requests.incrementAndGet();
                caller.write(Caller.head(
                        "GET", "/cat/1", Caller.newId(), 2_000, "Lacewingthread-Shard-Key: " + key + "\r\n", 0));
                if (caller.read(3_000) != null) {
                    answers.incrementAndGet();
                }
            } catch (IOException e) {
                Standins.sleep(100);
            }
            Standins.sleep(50);
        }
    }

    private void watch() {
        while (!ended) {
            long nowMillis = Standins.now();
            Map<String, Long> overlaps = new HashMap<>();
            for (int i = 0; i < backends.size(); i++) {
                for (int j = 0; j < i; j++) {
                    for (int[] a : backends.get(i).held()) {
                        for (int[] b : backends.get(j).held()) {
                            if (a[0] <= b[1] && b[0] <= a[1]) {
                                String what = "key " + Math.max(a[0], b[0]) + " at " + backends.get(j).id + " and "
                                        + backends.get(i).id;
                                long since = sinceMillis.getOrDefault(what, nowMillis);
                                overlaps.put(what, since);
                                if (nowMillis - since > longestMillis) {
                                    longestMillis = nowMillis - since;
                                    longest = what + ", to key " + Math.min(a[1], b[1]) + ", until " + nowMillis + " ms";
                                }
                            }
                        }
                    }
                }
            }
            sinceMillis.clear();
            sinceMillis.putAll(overlaps);
            Standins.sleep(20);
        }
    }

    private static final String CONFIGURATION = "{\"version\":\"r2\",\"routes\":{\"columns\":[\"name\",\"host\","
            + "\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"service\",\"max_attempts\","
            + "\"split\"],\"rows\":["
            + "[\"r-cat\",\"desk.example\",\"/cat/\",\"safe\",1200,400,2,\"catalogue\",2,null]]},"
            + "\"services\":{\"columns\":[\"name\",\"health_path\",\"max_conns\",\"protocol\",\"tls\",\"sharded\","
            + "\"warm_s\",\"grants\"],\"rows\":[[\"catalogue\",\"/health\",46,\"h1\",false,true,2.0,\"call\"]]},"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000}}";
}
