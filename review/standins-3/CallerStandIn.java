import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A client's connection to a router. */
final class CallerStandIn implements AutoCloseable {
    final Socket socket = new Socket();
    private final InputStream in;

    /** An answer; status 0 if the connection ended without one. */
    record Answer(int status, Map<String, String> headers, String body) {}

    CallerStandIn(int port) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static String request(String method, String path, String id, long deadlineMillis, int key, String body) {
        String head = method + " " + path + " HTTP/1.1\r\nHost: clerk.example\r\nLacewingthread-Attempt-Id: " + id
                + "\r\nLacewingthread-Deadline-Ms: " + deadlineMillis + "\r\n";
        head += key >= 0 ? "Lacewingthread-Shard-Key: " + key + "\r\n" : "";
        head += body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
        return head + "\r\n" + body;
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    Answer receive(int maxMillis) throws IOException {
        socket.setSoTimeout(maxMillis);
        String line = BackendStandIn.readLine(in);
        if (line == null) {
            return new Answer(0, Map.of(), "");
        }
        int status = Integer.parseInt(line.split(" ")[1]);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (line = BackendStandIn.readLine(in); line != null && !line.isEmpty(); line = BackendStandIn.readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
        return new Answer(status, headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
