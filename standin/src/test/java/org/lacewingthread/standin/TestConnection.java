package org.lacewingthread.standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 connection on which a test sends requests and reads answers separately. */
final class TestConnection implements AutoCloseable {
    private static final int SILENCE_MILLIS = 300;
    private static final int ANSWER_MILLIS = 5_000;

    private final Socket socket;
    private final InputStream in;

    /** An answer; its body is shorter than its Content-Length if the connection was closed early. */
    record Reply(int status, Map<String, String> headers, String body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        boolean isNotRun() {
            return "1".equals(header("Lacewingthread-Not-Run"));
        }

        String requestId() {
            return header("Lacewingthread-Request");
        }

        boolean isComplete() {
            return body.length() == Integer.parseInt(header("Content-Length"));
        }
    }

    TestConnection(URI uri) throws IOException {
        socket = new Socket(uri.getHost(), uri.getPort());
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and returns its answer, or null if the connection was closed without one. */
    Reply call(String method, String path, Map<String, String> headers, String body) throws IOException {
        send(method, path, headers, body);
        return receive();
    }

    Reply get(String path, String requestId) throws IOException {
        return call("GET", path, Map.of("Lacewingthread-Request", requestId), "");
    }

    void send(String method, String path, Map<String, String> headers, String body) throws IOException {
        StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: test\r\n");
        headers.forEach(
                (name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
        socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads the next answer; returns null if the connection was closed without one. */
    Reply receive() throws IOException {
        socket.setSoTimeout(ANSWER_MILLIS);
        String statusLine = readLine();
        if (statusLine == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        String body = new String(in.readNBytes(length), StandardCharsets.US_ASCII);
        return new Reply(Integer.parseInt(statusLine.split(" ")[1]), headers, body);
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            line.write(c);
        }
        return line.toString(StandardCharsets.US_ASCII).trim();
    }

    /** Returns whether the connection stays open without any byte received for {@link #SILENCE_MILLIS}. */
    boolean isSilent() throws IOException {
        socket.setSoTimeout(SILENCE_MILLIS);
        try {
            in.read();
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
