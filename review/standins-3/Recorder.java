import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the time since the start in milliseconds. */
final class Recorder implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;
    private final boolean verbose = System.getenv("VERBOSE") != null;

    /** A task that may fail. */
    interface Task {
        void run() throws Exception;
    }

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        out.println(millis() + " " + text);
    }

    /** Writes a line and prints it. */
    synchronized void result(String text) {
        line(text);
        System.out.println(millis() + " " + text);
    }

    void debug(String text) {
        if (verbose) {
            line(text);
        }
    }

    /** Starts a thread that doesn't keep the process alive; its failure ends only itself. */
    static Thread daemon(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        if (System.getenv("VERBOSE") != null) {
                            System.err.println(name + ": " + e);
                        }
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
