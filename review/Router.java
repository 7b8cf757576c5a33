package standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router process as deployed: the command and the settings template of the deploy file, on an address of its own. */
public final class Router {
    private static final Path ROOT = Path.of("").toAbsolutePath();
    private static final int METRICS_PORT = 9464;
    private static final List<Router> ALL = new ArrayList<>();

    public final String name;
    public final String ip;
    public final InetSocketAddress front;
    public final InetSocketAddress ready;
    public final Path log;
    private final Path settings;
    private Process process;

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Router::killAll));
    }

    /** Ends all router processes of this run, and deletes their settings and logs. */
    public static void killAll() {
        synchronized (ALL) {
            for (Router router : ALL) {
                if (router.process != null) {
                    router.process.destroyForcibly().onExit().join();
                }
                for (Path file : List.of(router.log, router.settings, router.settings.getParent())) {
                    file.toFile().delete();
                }
            }
        }
    }

    public Router(String name, String zone, String storeAddress, Path folder) throws IOException {
        this.name = name;
        this.ip = freeIp();
        this.front = new InetSocketAddress(ip, Standins.freePort(ip));
        this.ready = new InetSocketAddress(ip, Standins.freePort(ip));
        this.log = folder.resolve(name + ".log");
        this.settings = folder.resolve(name + ".json");
        Map<String, String> values = Map.of(
                "node", "\"" + name + "\"",
                "zone", "\"" + zone + "\"",
                "ip", "\"" + ip + "\"",
                "listen.front", "\"" + ip + ":" + front.getPort() + "\"",
                "listen.ready", "\"" + ip + ":" + ready.getPort() + "\"",
                "platform.addr", "\"" + storeAddress + "\"",
                "port_range.0", Integer.toString(Standins.freePort(ip)),
                "heartbeat_ms", "870",
                "bounds",
                        "{\"seed_lag_s\":3,\"addr_reuse_s\":2,\"stable_window_ms\":3000,\"ack_ms\":4000,"
                                + "\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":6,\"loss_slack_ms\":200,"
                                + "\"config_apply_ms\":2000,\"rollback_slack_ms\":250,\"outer_bound_ms\":5000,"
                                + "\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"budget_slack\":62,"
                                + "\"recovery_s\":15,\"max_hold_ms\":10000,\"thaw_slack_ms\":300}");
        String text = Files.readString(ROOT.resolve("deploy/settings.json.template"));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "|json}}", value.getValue());
        }
        if (text.contains("{{")) {
            throw new IOException("the settings template has a placeholder that is not known here: " + text);
        }
        Files.writeString(settings, text);
        synchronized (ALL) {
            ALL.add(this);
        }
    }

    /** Returns a loopback address on which the port for metrics, which the template fixes, is free. */
    private static String freeIp() throws IOException {
        for (int i = 0; i < 100; i++) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            String ip = "127." + random.nextInt(1, 250) + "." + random.nextInt(1, 250) + "." + random.nextInt(2, 250);
            try (ServerSocket metrics = new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(ip))) {
                return ip;
            } catch (IOException e) {
                continue;
            }
        }
        throw new IOException("no loopback address has port " + METRICS_PORT + " free");
    }

    /** Starts the process with the run line of the deploy file. */
    public void start() throws IOException {
        String deploy = Files.readString(ROOT.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run line");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.directory(ROOT.toFile());
        builder.environment().put("LACEWINGTHREAD_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        Standins.record("router " + name + " started on " + front + ", pid " + process.pid());
    }

    /** Waits until the router answers its readiness check with 200. */
    public void awaitReady() throws IOException {
        for (long until = Standins.now() + 30_000; Standins.now() < until; Standins.sleep(50)) {
            if (readiness() == 200) {
                return;
            }
        }
        throw new IOException("router " + name + " did not become ready");
    }

    /** Returns the status of the readiness check; 0 if there is no answer within a second. */
    public int readiness() {
        try (Socket socket = new Socket()) {
            socket.connect(ready, 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            Standins.Message answer = Standins.read(Standins.buffered(socket.getInputStream()));
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Sends a signal, such as TERM, KILL, STOP or CONT. */
    public void signal(String signal) throws IOException {
        Standins.record("signal " + signal + " to router " + name);
        try {
            new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    public boolean isRunning() {
        return process != null && process.isAlive();
    }

    /** Returns the exit status; -1 while the process runs. */
    public int exitStatus() {
        return isRunning() ? -1 : process.exitValue();
    }
}
