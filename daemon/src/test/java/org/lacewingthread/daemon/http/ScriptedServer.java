package org.lacewingthread.daemon.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Server on raw sockets that writes whatever its script says, at any point of a connection. */
final class ScriptedServer implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicInteger accepted = new AtomicInteger();
    private final Script script;

    /** What the server does on a connection. */
    interface Script {
        /** Serves a connection, which is closed afterwards. */
        void serve(Exchange exchange) throws IOException, InterruptedException;
    }

    /** One connection of the server. */
    static final class Exchange {
        private final InputStream in;
        private final OutputStream out;
        final int number;

        private Exchange(Socket socket, int number) throws IOException {
            this.in = new BufferedInputStream(socket.getInputStream());
            this.out = socket.getOutputStream();
            this.number = number;
        }

        /** Reads the head of a request; returns its target, or null at the end of the connection. */
        String readRequest() throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    return null;
                }
                head.append((char) next);
            }
            return head.toString().split(" ", 3)[1];
        }

        /** Reads and forgets everything until the end of the connection; throws if it was reset. */
        void readToEnd() throws IOException {
            in.transferTo(OutputStream.nullOutputStream());
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.US_ASCII));
        }
    }

    ScriptedServer(Script script) throws IOException {
        this.script = script;
        threads.execute(this::acceptAll);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    }

    int acceptedCount() {
        return accepted.get();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                int number = accepted.incrementAndGet();
                threads.execute(() -> serve(socket, number));
            } catch (IOException e) {
                // The test has ended.
                return;
            }
        }
    }

    private void serve(Socket socket, int number) {
        try (socket) {
            script.serve(new Exchange(socket, number));
        } catch (IOException | InterruptedException e) {
            // The caller closed the connection, or the test has ended.
            return;
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        threads.shutdownNow();
    }
}
