package standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
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

/** The platform's metadata store: topics with one partition, conditional appends, newest records, groups. */
public final class Store {
    private static final int PARTS = 16;

    private record Entry(String key, byte[] content) {}

    /** A member of a group. */
    private static final class Member {
        long expiresNanos;
    }

    private final HttpServer server;
    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final Map<Integer, String> holders = new TreeMap<>();
    private long generation = 1;
    private long era = 1;
    private boolean away;

    public Store() throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(Standins::daemon));
        server.createContext("/", this::handle);
        server.start();
    }

    public String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a record as the operator or a server does; an empty value drops the key. */
    public synchronized void put(String topic, String key, String value) {
        put(topic, key, value.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a copy of the store: how long each topic is. */
    public synchronized Map<String, Integer> copy() {
        Map<String, Integer> sizes = new HashMap<>();
        topics.forEach((name, log) -> sizes.put(name, log.size()));
        return sizes;
    }

    /** Turns all calls away with 503 from now on. */
    public synchronized void goAway() {
        away = true;
    }

    /** Comes back from a copy; what was written since is gone, offsets are given out again, and the era rises by one. */
    public synchronized void comeBack(Map<String, Integer> copy) {
        topics.forEach((name, log) ->
                log.subList(copy.getOrDefault(name, 0), log.size()).clear());
        era++;
        away = false;
        notifyAll();
    }

    private synchronized void put(String topic, String key, byte[] value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        content.write(keyBytes.length);
        content.writeBytes(keyBytes);
        content.writeBytes(value);
        topic(topic).add(new Entry(key, content.toByteArray()));
        notifyAll();
    }

    private List<Entry> topic(String name) {
        return topics.computeIfAbsent(name, key -> new ArrayList<>());
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = new HashMap<>();
            String text = exchange.getRequestURI().getRawQuery();
            for (String part : text == null ? new String[0] : text.split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
            synchronized (this) {
                exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
            }
            if (isAway()) {
                respond(exchange, 503, new byte[0]);
                return;
            }
            switch (exchange.getRequestURI().getPath()) {
                case "/log-append" -> append(exchange, query, body);
                case "/log-read" -> read(exchange, query);
                case "/log-newest" -> newest(exchange, query);
                case "/log-join" -> join(exchange, new String(body, StandardCharsets.UTF_8));
                case "/log-leave" -> leave(exchange, new String(body, StandardCharsets.UTF_8));
                default -> respond(exchange, 404, new byte[0]);
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private synchronized boolean isAway() {
        return away;
    }

    private void append(HttpExchange exchange, Map<String, String> query, byte[] body) throws IOException {
        int status = 200;
        String answer;
        synchronized (this) {
            String name = query.get("topic");
            List<Entry> log = topic(name);
            if (name.equals("keyed.op") || name.equals("keyed.servers")) {
                status = 403;
                answer = "{}";
            } else if (query.containsKey("as_of") && Long.parseLong(query.get("as_of")) != log.size()) {
                status = 412;
                answer = "{\"end\":" + log.size() + "}";
            } else {
                int offset = log.size();
                DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
                while (in.available() > 0) {
                    byte[] content = in.readNBytes(in.readInt());
                    int keyLength = name.startsWith("keyed.") ? content[0] & 0xff : 0;
                    log.add(new Entry(
                            name.startsWith("keyed.")
                                    ? new String(content, 1, keyLength, StandardCharsets.UTF_8)
                                    : "",
                            content));
                }
                answer = "{\"offset\":" + offset + ",\"end\":" + log.size() + "}";
                notifyAll();
            }
        }
        respond(exchange, status, answer.getBytes(StandardCharsets.UTF_8));
    }

    private void read(HttpExchange exchange, Map<String, String> query) throws IOException, InterruptedException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        synchronized (this) {
            List<Entry> log = topic(query.get("topic"));
            int from = Integer.parseInt(query.get("from"));
            long untilNanos =
                    System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
            long asked = era;
            while (asked == era && from >= log.size() && System.nanoTime() < untilNanos) {
                wait(Math.max(1, (untilNanos - System.nanoTime()) / 1_000_000));
            }
            exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
            if (from > log.size()) {
                respond(exchange, 410, "{\"first\":0}".getBytes(StandardCharsets.UTF_8));
                return;
            }
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(log.size());
            out.writeLong(0);
            for (int i = from; i < log.size() && bytes.size() < 1_000_000; i++) {
                out.writeInt(log.get(i).content().length);
                out.write(log.get(i).content());
            }
        }
        respond(exchange, 200, bytes.toByteArray());
    }

    private void newest(HttpExchange exchange, Map<String, String> query) throws IOException {
        StringBuilder items = new StringBuilder();
        boolean more = false;
        int end;
        synchronized (this) {
            List<Entry> log = topic(query.get("topic"));
            end = log.size();
            Map<String, Integer> newest = new TreeMap<>();
            for (int i = 0; i < log.size(); i++) {
                newest.put(log.get(i).key(), i);
            }
            int count = 0;
            for (Map.Entry<String, Integer> entry : newest.entrySet()) {
                byte[] content = log.get(entry.getValue()).content();
                int start = 1 + (content[0] & 0xff);
                if (start >= content.length || entry.getKey().compareTo(query.getOrDefault("after", "")) <= 0) {
                    continue;
                }
                if (++count > 500) {
                    more = true;
                    break;
                }
                byte[] value = java.util.Arrays.copyOfRange(content, start, content.length);
                items.append(items.length() == 0 ? "" : ",")
                        .append("{\"key\":\"" + entry.getKey() + "\",\"value\":\""
                                + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + entry.getValue()
                                + "}");
            }
        }
        String answer = "{\"items\":[" + items + "],\"has_more\":" + more + ",\"end\":" + end + "}";
        respond(exchange, 200, answer.getBytes(StandardCharsets.UTF_8));
    }

    private static String field(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}]*)").matcher(json);
        return matcher.find() ? matcher.group(1) : "";
    }

    private void join(HttpExchange exchange, String body) throws IOException {
        String answer;
        synchronized (this) {
            String member = field(body, "member");
            Matcher topic = Pattern.compile("\"topics\"\\s*:\\s*\\[\"([^\"]*)\"").matcher(body);
            String name = topic.find() ? topic.group(1) : "";
            expireMembers();
            if (!members.containsKey(member)) {
                members.put(member, new Member());
                generation++;
            }
            members.get(member).expiresNanos =
                    System.nanoTime() + Long.parseLong(field(body, "ttl_ms")) * 1_000_000;
            List<String> names = new ArrayList<>(members.keySet());
            StringBuilder parts = new StringBuilder();
            for (int part = 0; part < PARTS; part++) {
                String target = names.get(part % names.size());
                if (member.equals(holders.get(part)) && !target.equals(member)) {
                    holders.remove(part);
                }
                holders.putIfAbsent(part, target);
                if (member.equals(holders.get(part))) {
                    parts.append(parts.length() == 0 ? "" : ",").append("[\"" + name + "\"," + part + ",0]");
                }
            }
            answer = "{\"generation\":" + generation + ",\"ttl_ms\":" + field(body, "ttl_ms") + ",\"parts\":[" + parts
                    + "]}";
        }
        respond(exchange, 200, answer.getBytes(StandardCharsets.UTF_8));
    }

    private void expireMembers() {
        long nowNanos = System.nanoTime();
        boolean changed = members.values().removeIf(member -> member.expiresNanos < nowNanos);
        generation += changed ? 1 : 0;
        holders.values().removeIf(name -> !members.containsKey(name));
    }

    private void leave(HttpExchange exchange, String body) throws IOException {
        synchronized (this) {
            if (members.remove(field(body, "member")) != null) {
                generation++;
            }
            expireMembers();
        }
        respond(exchange, 200, "{}".getBytes(StandardCharsets.UTF_8));
    }

    private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
    }
}
