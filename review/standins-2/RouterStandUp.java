import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router as deployed: a process with the run line of deploy/system.toml and settings for a loopback address. */
final class RouterStandUp implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]*)\"");

    private static final int MAX_DESCRIPTORS = 4_100;

    final String vm;
    final int callerPort = freePort();
    final int readinessPort = freePort();
    final int metricsPort = freePort();
    final int reportPort = freePort();
    final Path log;
    private final ProcessBuilder builder;
    private volatile Process process;

    RouterStandUp(String vm, String storeAddress, Path folder) throws IOException {
        this.vm = vm;
        Path settings = folder.resolve(vm + ".json");
        log = folder.resolve(vm + ".log");
        Files.writeString(
                settings,
                "{\"vm\":\"" + vm + "\",\"dataCentre\":\"maras\",\"address\":\"127.0.0.1\",\"callerAddress\":\"127.0.0.1:"
                        + callerPort + "\",\"readinessAddress\":\"127.0.0.1:" + readinessPort + "\",\"storeAddress\":\""
                        + storeAddress + "\",\"metricsPort\":" + metricsPort + ",\"reportPort\":" + reportPort
                        + ",\"entryIntervalMillis\":870,\"bounds\":{\"drain_ms\":2000,\"grace_s\":6,"
                        + "\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"budget_slack\":62,\"max_hold_ms\":10000}}");
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml"), StandardCharsets.UTF_8));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run line");
        }
        // The descriptors that a small deployment gives a process; the shell is replaced by the program.
        List<String> command = new ArrayList<>(
                List.of("/bin/sh", "-c", "ulimit -n " + MAX_DESCRIPTORS + " 2>/dev/null; exec \"$@\"", "router"));
        command.addAll(Arrays.asList(run.group(1).split(" ")));
        builder = new ProcessBuilder(command);
        builder.environment().put("LACEWINGTHREAD_SETTINGS", settings.toString());
        builder.environment().put("LACEWINGTHREAD_BOOTSTRAP", "true");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    /** Starts the process again after it has ended, which is no first start of the deployment. */
    void startAgain() throws IOException {
        builder.environment().put("LACEWINGTHREAD_BOOTSTRAP", "false");
        process = builder.start();
    }

    /** Returns the exit code of the process that has ended. */
    int exitCode() {
        return process.exitValue();
    }

    /** Returns the last lines of the log, shortened. */
    String lastLines(int count) throws IOException {
        List<String> lines = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
        return lines.subList(Math.max(0, lines.size() - count), lines.size()).stream()
                .map(line -> line.substring(0, Math.min(line.length(), 300)))
                .toList()
                .toString();
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    @Override
    public void close() {
        try {
            process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
