import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A link between a router and a backend, which can be cut: a proxy on a loopback address. */
final class LinkStandIn implements AutoCloseable {
    /** State of a link. */
    enum State {
        /** Passes everything on. */
        UP,
        /** Passes nothing on; connections hang until the link is up again, and what was sent is held up till then. */
        HANGING,
        /** Resets open connections and new ones. */
        RESETTING
    }

    private final ServerSocket listener;
    private final int backendPort;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile State state = State.UP;

    LinkStandIn(String backendAddress) throws IOException {
        backendPort = Integer.parseInt(backendAddress.substring(backendAddress.indexOf(':') + 1));
        listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
        Recorder.daemon("link", this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    void set(State newState) throws IOException {
        state = newState;
        if (newState == State.RESETTING) {
            for (Socket socket : sockets) {
                reset(socket);
            }
        }
    }

    private static void reset(Socket socket) throws IOException {
        if (!socket.isClosed()) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private void accept() throws Exception {
        while (!listener.isClosed()) {
            Socket router = listener.accept();
            router.setTcpNoDelay(true);
            sockets.add(router);
            if (state == State.RESETTING) {
                reset(router);
                sockets.remove(router);
                continue;
            }
            Recorder.daemon("link-open", () -> open(router));
        }
    }

    private void open(Socket router) throws Exception {
        awaitUp();
        Socket backend = new Socket();
        sockets.add(backend);
        try {
            backend.connect(new InetSocketAddress("127.0.0.1", backendPort), 1_000);
            backend.setTcpNoDelay(true);
        } catch (IOException e) {
            reset(router);
            sockets.remove(backend);
            sockets.remove(router);
            throw e;
        }
        Recorder.daemon("link-there", () -> copy(router, backend));
        copy(backend, router);
    }

    private void awaitUp() throws InterruptedException {
        while (state == State.HANGING) {
            Thread.sleep(5);
        }
    }

    /** Copies until one side ends; a reset is passed on as a reset. */
    private void copy(Socket from, Socket to) throws IOException {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] bytes = new byte[16_384];
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                awaitUp();
                out.write(bytes, 0, count);
                out.flush();
            }
            awaitUp();
            from.close();
            to.close();
        } catch (IOException | InterruptedException e) {
            reset(from);
            reset(to);
        } finally {
            sockets.remove(from);
            sockets.remove(to);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
