package org.lacewingthread.daemon.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free loopback ports for entry VMs. They lie below the range from which the operating system takes
 * ports for outgoing connections, so that no connection takes a port between the search and its use.
 */
final class FreePorts {
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 10_000;
    private static final int PORTS_PER_PROCESS = 400;
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS % PORT_COUNT));

    private FreePorts() {}

    static int next() throws IOException {
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("no port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1) + " is free");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
