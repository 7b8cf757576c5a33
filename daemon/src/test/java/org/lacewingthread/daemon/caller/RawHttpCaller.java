package org.lacewingthread.daemon.caller;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Caller that sends unchecked bytes over a socket, so that requests may be invalid. */
final class RawHttpCaller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 15_000;

    private final Socket socket;

    RawHttpCaller(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(TIMEOUT_MILLIS);
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    void shutdownOutput() throws IOException {
        socket.shutdownOutput();
    }

    /** Reads until the given text was received or the server closed the connection. */
    String readUntil(String end) throws IOException {
        StringBuilder read = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (read.indexOf(end) < 0) {
            int next = in.read();
            if (next < 0) {
                return read.toString();
            }
            read.append((char) next);
        }
        return read.toString();
    }

    /** Reads until the server closes the connection. */
    String readToEnd() throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
