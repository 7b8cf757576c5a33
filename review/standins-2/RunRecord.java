import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Writes what was sent, answered and run to record.txt, with the milliseconds since the start. */
final class RunRecord {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();
    private final Map<String, Integer> runsByAttempt = new ConcurrentHashMap<>();
    private final Map<String, String> targetByAttempt = new ConcurrentHashMap<>();

    private final List<Take> takes = new CopyOnWriteArrayList<>();

    RunRecord(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    synchronized void note(String line) {
        out.printf("%8d %s%n", (System.nanoTime() - startNanos) / 1_000_000, line);
    }

    void ran(String server, String service, String attempt, String startLine, int bodyBytes) {
        runsByAttempt.merge(attempt, 1, Integer::sum);
        targetByAttempt.put(attempt, startLine.split(" ")[1]);
        note("ran " + attempt + " at " + server + " (" + service + "): " + startLine + ", body " + bodyBytes);
    }

    /** A grant that took effect at a backend. */
    record Take(long atNanos, String backend, int from, int to, long fence, long untilNanos) {
        boolean sharesKeys(Take other) {
            return from <= other.to && other.from <= to;
        }
    }

    /** Records a grant that took effect while its time was not over. */
    void took(String backend, int from, int to, long fence, long untilNanos) {
        takes.add(new Take(System.nanoTime(), backend, from, to, fence, untilNanos));
        note(backend + " holds keys " + from + " to " + to + ", fence " + fence + ", for "
                + (untilNanos - System.nanoTime()) / 1_000_000 + " ms");
    }

    /** Returns the grants that took effect, in order. */
    List<Take> takes() {
        return List.copyOf(takes);
    }

    /** Returns the target of the newest run of an attempt; null if it has not run. */
    String targetOf(String attempt) {
        return targetByAttempt.get(attempt);
    }

    int runs(String attempt) {
        return runsByAttempt.getOrDefault(attempt, 0);
    }
}
