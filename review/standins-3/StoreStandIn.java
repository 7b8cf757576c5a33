import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store as PROTOCOL.md describes it: keyed topics of one partition, conditional appends, one group. */
final class StoreStandIn implements AutoCloseable {
    private static final int GROUP_PARTITIONS = 16;
    private static final long APPEND_MILLIS = 4;

    private final HttpServer server;
    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final Map<String, Long> memberExpiryMillis = new LinkedHashMap<>();
    private final Map<Integer, String> partitionOwners = new HashMap<>();
    private long generation = 1;
    /** Value of the header Store-Era; 0 for none. */
    private long era;
    private volatile boolean away;

    private record Entry(String key, byte[] value, long writtenMillis) {}

    /** Addresses that the store names instead of the registered ones, by the port at which it is asked. */
    private final Map<Integer, Map<String, String>> addressesByPort = new java.util.concurrent.ConcurrentHashMap<>();

    private final List<HttpServer> views = new ArrayList<>();

    StoreStandIn() throws IOException {
        server = listen();
    }

    /**
     * Opens an address at which the store names other addresses of backends, so that the links of one router to the backends
     * lead through proxies.
     *
     * @param addresses address to name for each registered address; may change later
     */
    String openView(Map<String, String> addresses) throws IOException {
        HttpServer view = listen();
        views.add(view);
        addressesByPort.put(view.getAddress().getPort(), addresses);
        return "127.0.0.1:" + view.getAddress().getPort();
    }

    private byte[] valueFor(HttpExchange exchange, Entry entry) {
        Map<String, String> addresses = addressesByPort.get(exchange.getLocalAddress().getPort());
        if (addresses == null) {
            return entry.value();
        }
        String text = new String(entry.value(), StandardCharsets.ISO_8859_1);
        for (Map.Entry<String, String> address : addresses.entrySet()) {
            text = text.replace("\"" + address.getKey() + "\"", "\"" + address.getValue() + "\"");
        }
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private HttpServer listen() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/log-append", this::append);
        server.createContext("/log-read", this::read);
        server.createContext("/log-newest", this::newest);
        server.createContext("/log-join", this::join);
        server.createContext("/log-leave", this::leave);
        server.start();
        return server;
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a record as the operator or a backend does; an empty value removes the key. */
    synchronized void put(String topic, String key, String value) {
        topic(topic).add(new Entry(key, value.getBytes(StandardCharsets.UTF_8), System.currentTimeMillis()));
        notifyAll();
    }

    /** States an era from now on. */
    synchronized void setEra(long newEra) {
        era = newEra;
    }

    /**
     * Is away for a moment and comes back from a copy. What the system wrote since the copy is gone, and what the operator and
     * the backends wrote is written again.
     *
     * @param awayMillis how long the store is away
     * @param copyAgeMillis age of the copy when the store goes away
     */
    void comeBackFromCopy(long awayMillis, long copyAgeMillis) throws InterruptedException {
        long copiedMillis = System.currentTimeMillis() - copyAgeMillis;
        away = true;
        Thread.sleep(awayMillis);
        synchronized (this) {
            topics.forEach((name, log) -> {
                List<Entry> lost = log.stream()
                        .filter(entry -> entry.writtenMillis() > copiedMillis)
                        .toList();
                log.removeAll(lost);
                if (name.equals("keyed.op") || name.equals("keyed.servers")) {
                    log.addAll(lost);
                }
            });
            era++;
            away = false;
            notifyAll();
        }
    }

    private List<Entry> topic(String name) {
        return topics.computeIfAbsent(name, key -> new ArrayList<>());
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        for (String part : exchange.getRequestURI().getQuery().split("&")) {
            String[] pair = part.split("=", 2);
            values.put(pair[0], pair[1]);
        }
        return values;
    }

    private void append(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        byte[] body = exchange.getRequestBody().readAllBytes();
        try {
            Thread.sleep(APPEND_MILLIS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        if (refusesWhileAway(exchange)) {
            return;
        }
        String answer;
        int status = 200;
        synchronized (this) {
            List<Entry> log = topic(query.get("topic"));
            if (query.containsKey("as_of") && Long.parseLong(query.get("as_of")) != log.size()) {
                status = 412;
                answer = "{\"end\":" + log.size() + "}";
            } else {
                int offset = log.size();
                DataInputStream in = new DataInputStream(new java.io.ByteArrayInputStream(body));
                while (in.available() > 0) {
                    byte[] record = in.readNBytes(in.readInt());
                    int keyLength = record[0] & 0xff;
                    String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
                    log.add(new Entry(
                            key,
                            java.util.Arrays.copyOfRange(record, 1 + keyLength, record.length),
                            System.currentTimeMillis()));
                }
                notifyAll();
                answer = "{\"offset\":" + offset + ",\"end\":" + log.size() + "}";
            }
        }
        respond(exchange, status, answer.getBytes(StandardCharsets.UTF_8));
    }

    private void read(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        int from = Integer.parseInt(query.get("from"));
        if (refusesWhileAway(exchange)) {
            return;
        }
        long eraOfCall = era;
        long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        synchronized (this) {
            List<Entry> log = topic(query.get("topic"));
            if (from > log.size()) {
                respond(exchange, 410, "{\"first\":0}".getBytes(StandardCharsets.UTF_8));
                return;
            }
            while (from >= log.size() && System.currentTimeMillis() < until) {
                try {
                    wait(Math.max(1, until - System.currentTimeMillis()));
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
            if (away || era != eraOfCall) {
                exchange.close();
                return;
            }
            out.writeLong(log.size());
            out.writeLong(0);
            for (Entry entry : log.subList(Math.min(from, log.size()), log.size())) {
                byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
                byte[] value = valueFor(exchange, entry);
                out.writeInt(1 + key.length + value.length);
                out.writeByte(key.length);
                out.write(key);
                out.write(value);
            }
        }
        respond(exchange, 200, bytes.toByteArray());
    }

    private void newest(HttpExchange exchange) throws IOException {
        if (refusesWhileAway(exchange)) {
            return;
        }
        StringBuilder json = new StringBuilder("{\"items\":[");
        synchronized (this) {
            List<Entry> log = topic(query(exchange).get("topic"));
            Map<String, Integer> offsets = new LinkedHashMap<>();
            for (int i = 0; i < log.size(); i++) {
                offsets.put(log.get(i).key(), i);
            }
            String separator = "";
            for (int offset : offsets.values()) {
                Entry entry = log.get(offset);
                if (entry.value().length > 0) {
                    json.append(separator)
                            .append("{\"key\":\"" + entry.key() + "\",\"value\":\""
                                    + Base64.getEncoder().encodeToString(valueFor(exchange, entry)) + "\",\"offset\":" + offset
                                    + "}");
                    separator = ",";
                }
            }
            json.append("],\"has_more\":false,\"end\":" + log.size() + "}");
        }
        respond(exchange, 200, json.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static String field(String json, String name) {
        Matcher matcher =
                Pattern.compile("\"" + name + "\"\\s*:\\s*(\"([^\"]*)\"|([0-9]+))").matcher(json);
        if (!matcher.find()) {
            return "";
        }
        return matcher.group(2) != null ? matcher.group(2) : matcher.group(3);
    }

    private void join(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        if (refusesWhileAway(exchange)) {
            return;
        }
        String member = field(body, "member");
        String topic = body.replaceAll("(?s).*\"topics\"\\s*:\\s*\\[\\s*\"([^\"]*)\".*", "$1");
        StringBuilder parts = new StringBuilder();
        long answered;
        synchronized (this) {
            long now = System.currentTimeMillis();
            boolean changed = memberExpiryMillis.values().removeIf(expiry -> expiry < now);
            changed |= !memberExpiryMillis.containsKey(member);
            memberExpiryMillis.put(member, now + Long.parseLong(field(body, "ttl_ms")));
            if (changed) {
                deal();
            }
            for (int partition = 0; partition < GROUP_PARTITIONS; partition++) {
                if (member.equals(partitionOwners.get(partition))) {
                    parts.append(parts.length() == 0 ? "" : ",").append("[\"" + topic + "\"," + partition + ",0]");
                }
            }
            answered = generation;
        }
        String answer = "{\"generation\":" + answered + ",\"ttl_ms\":" + field(body, "ttl_ms") + ",\"parts\":[" + parts
                + "]}";
        respond(exchange, 200, answer.getBytes(StandardCharsets.UTF_8));
    }

    /** Deals the partitions evenly; a member keeps those that it has as long as that is even. */
    private void deal() {
        generation++;
        List<String> members = new ArrayList<>(memberExpiryMillis.keySet());
        partitionOwners.values().removeIf(owner -> !members.contains(owner));
        if (members.isEmpty()) {
            return;
        }
        int most = (GROUP_PARTITIONS + members.size() - 1) / members.size();
        Map<String, Integer> counts = new HashMap<>();
        for (int partition = 0; partition < GROUP_PARTITIONS; partition++) {
            String owner = partitionOwners.get(partition);
            if (owner == null || counts.getOrDefault(owner, 0) >= most) {
                owner = members.stream()
                        .min(java.util.Comparator.comparingInt(name -> counts.getOrDefault(name, 0)))
                        .orElseThrow();
                partitionOwners.put(partition, owner);
            }
            counts.merge(owner, 1, Integer::sum);
        }
    }

    private void leave(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        synchronized (this) {
            if (memberExpiryMillis.remove(field(body, "member")) != null) {
                deal();
            }
        }
        respond(exchange, 200, "{}".getBytes(StandardCharsets.UTF_8));
    }

    /** Closes the connection of a call without an answer while the store is away. */
    private boolean refusesWhileAway(HttpExchange exchange) {
        if (away) {
            exchange.close();
        }
        return away;
    }

    private void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
        if (era > 0) {
            exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
        }
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
        views.forEach(view -> view.stop(0));
    }
}
