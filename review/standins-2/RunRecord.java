import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Writes what was sent, answered and run to record.txt, with the milliseconds since the start. */
final class RunRecord {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();
    private final Map<String, Integer> runsByAttempt = new ConcurrentHashMap<>();
    private final Map<String, String> targetByAttempt = new ConcurrentHashMap<>();

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

    /** Returns the target of the newest run of an attempt; null if it has not run. */
    String targetOf(String attempt) {
        return targetByAttempt.get(attempt);
    }

    int runs(String attempt) {
        return runsByAttempt.getOrDefault(attempt, 0);
    }
}
