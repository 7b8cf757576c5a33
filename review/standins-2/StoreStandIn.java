import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store: topics with one partition, reads that wait, conditional appends, the newest record of each key,
 * and groups whose single partition belongs to one member.
 */
final class StoreStandIn {
    private static final Pattern MEMBER = Pattern.compile("\"member\"\\s*:\\s*\"([^\"]*)\"");
    private static final Pattern TTL = Pattern.compile("\"ttl_ms\"\\s*:\\s*([0-9]+)");
    private static final Pattern TOPICS = Pattern.compile("\"topics\"\\s*:\\s*\\[\\s*\"([^\"]*)\"");

    private final HttpServer server;
    private final Map<String, List<byte[]>> topics = new HashMap<>();
    /** Members of the only group, with the ends of their memberships, in the order of joining. */
    private final Map<String, Long> members = new LinkedHashMap<>();

    private String holder = "";
    private long generation;

    StoreStandIn() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(runnable -> {
            Thread thread = new Thread(runnable, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/log-append", this::append);
        server.createContext("/log-read", this::read);
        server.createContext("/log-newest", this::newest);
        server.createContext("/log-join", this::join);
        server.createContext("/log-leave", this::leave);
        server.createContext("/log-trim", exchange -> respond(exchange, 200, "{}".getBytes(StandardCharsets.UTF_8)));
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Appends a keyed record, as the operator and the backend servers do; an empty value deletes the key. */
    synchronized void put(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
        byte[] record = new byte[1 + keyBytes.length + valueBytes.length];
        record[0] = (byte) keyBytes.length;
        System.arraycopy(keyBytes, 0, record, 1, keyBytes.length);
        System.arraycopy(valueBytes, 0, record, 1 + keyBytes.length, valueBytes.length);
        topic(topic).add(record);
        notifyAll();
    }

    private List<byte[]> topic(String name) {
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
        int status = 200;
        int offset;
        int end;
        synchronized (this) {
            List<byte[]> log = topic(query.get("topic"));
            offset = log.size();
            if (query.containsKey("as_of") && Long.parseLong(query.get("as_of")) != offset) {
                status = 412;
            } else {
                DataInputStream records = new DataInputStream(new java.io.ByteArrayInputStream(body));
                while (records.available() > 0) {
                    log.add(records.readNBytes(records.readInt()));
                }
                notifyAll();
            }
            end = log.size();
        }
        String text = status == 412 ? "{\"end\":" + end + "}" : "{\"offset\":" + offset + ",\"end\":" + end + "}";
        respond(exchange, status, text.getBytes(StandardCharsets.UTF_8));
    }

    private void read(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        int from = Integer.parseInt(query.get("from"));
        long waitUntil = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        synchronized (this) {
            List<byte[]> log = topic(query.get("topic"));
            while (from >= log.size() && System.nanoTime() < waitUntil) {
                try {
                    wait(20);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    break;
                }
            }
            out.writeLong(log.size());
            out.writeLong(0);
            for (byte[] record : log.subList(Math.min(from, log.size()), log.size())) {
                if (bytes.size() + record.length > 1_000_000) {
                    break;
                }
                out.writeInt(record.length);
                out.write(record);
            }
        }
        respond(exchange, 200, bytes.toByteArray());
    }

    private void newest(HttpExchange exchange) throws IOException {
        StringBuilder items = new StringBuilder();
        int end;
        synchronized (this) {
            List<byte[]> log = topic(query(exchange).get("topic"));
            end = log.size();
            Map<String, String> newest = new TreeMap<>();
            for (int offset = 0; offset < end; offset++) {
                byte[] record = log.get(offset);
                int keyLength = record[0] & 0xFF;
                String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
                byte[] value = java.util.Arrays.copyOfRange(record, 1 + keyLength, record.length);
                if (value.length == 0) {
                    newest.remove(key);
                } else {
                    newest.put(
                            key,
                            "{\"key\":\"" + key + "\",\"value\":\""
                                    + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + offset + "}");
                }
            }
            items.append(String.join(",", newest.values()));
        }
        String text = "{\"items\":[" + items + "],\"has_more\":false,\"end\":" + end + "}";
        respond(exchange, 200, text.getBytes(StandardCharsets.UTF_8));
    }

    private void join(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String member = group(MEMBER, body);
        String topic = group(TOPICS, body);
        String text;
        synchronized (this) {
            long now = System.nanoTime() / 1_000_000;
            members.put(member, now + Long.parseLong(group(TTL, body)));
            updateHolder(now);
            String parts = member.equals(holder) ? "[[\"" + topic + "\",0,0]]" : "[]";
            text = "{\"generation\":" + generation + ",\"parts\":" + parts + "}";
        }
        respond(exchange, 200, text.getBytes(StandardCharsets.UTF_8));
    }

    private void leave(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        synchronized (this) {
            members.remove(group(MEMBER, body));
            updateHolder(System.nanoTime() / 1_000_000);
        }
        respond(exchange, 200, "{}".getBytes(StandardCharsets.UTF_8));
    }

    private void updateHolder(long now) {
        members.values().removeIf(until -> until < now);
        if (!members.containsKey(holder)) {
            holder = members.isEmpty() ? "" : members.keySet().iterator().next();
            generation++;
        }
    }

    private static String group(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        return matcher.find() ? matcher.group(1) : "";
    }

    private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
