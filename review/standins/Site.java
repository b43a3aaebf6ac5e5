package review;

import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on the loopback interface: the store and the backends in this process, the
 * daemons as processes with the command of deploy/system.toml. Only the port for metrics is
 * another one, as it must be free.
 */
final class Site {
    static final String HOST = "site.example";

    /** Exit codes of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int CANNOT_RUN = 2;

    private static final int LOG_LINES = 40;

    final Record mRecord;
    final Store mStore = new Store();
    final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path mDirectory;
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final AtomicInteger mRequests = new AtomicInteger();

    /** A daemon's process and its addresses. */
    static final class Daemon {
        String mName;
        int mFront;
        int mReady;
        Path mSettings;
        Path mLog;
        int mMetrics;
        Process mProcess;
    }

    Site(Path folder) throws IOException {
        mRecord = new Record(folder.resolve("record.txt"));
        mDirectory = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
        Listener.daemonThread(
                () -> {
                    Thread.sleep(115_000);
                    mRecord.line("the case took too long");
                    Runtime.getRuntime().exit(CANNOT_RUN);
                });
    }

    private void stop() {
        mDaemons.forEach(d -> d.mProcess.destroyForcibly());
        try {
            for (Daemon daemon : mDaemons) {
                daemon.mProcess.waitFor(5, TimeUnit.SECONDS);
                Files.deleteIfExists(daemon.mSettings);
                if (System.getenv("KEEP_LOGS") == null) {
                    Files.deleteIfExists(daemon.mLog);
                }
            }
            if (System.getenv("KEEP_LOGS") == null) {
                Files.deleteIfExists(mDirectory);
            }
        } catch (IOException | InterruptedException e) {
            System.err.println("cannot clean up: " + e);
        }
    }

    /** The configuration: a keyed and a plain service, with a safe and an unsafe route each. */
    static String configuration(double timeoutSeconds) {
        StringBuilder routes = new StringBuilder();
        String[][] all = {
            {"key-read", "/key-read/", "safe", "keyed"},
            {"key-order", "/key-order/", "unsafe", "keyed"},
            {"read", "/read/", "safe", "plain"},
            {"order", "/order/", "unsafe", "plain"}
        };
        for (String[] route : all) {
            routes.append(routes.length() == 0 ? "" : ",")
                    .append(
                            String.format(
                                    "{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"%s\","
                                            + "\"kind\":\"%s\",\"timeout_s\":%s,\"goal_s\":1,"
                                            + "\"priority\":1,\"service\":\"%s\",\"attempts\":2}",
                                    route[0], HOST, route[1], route[2], timeoutSeconds, route[3]));
        }
        return "{\"version\":\"r3\",\"routes\":["
                + routes
                + "],\"services\":[{\"name\":\"keyed\",\"health_path\":\"/healthz\","
                + "\"max_conns\":120,\"sharded\":true,\"warmup_s\":3,\"cold_per_s\":8,"
                + "\"warm_s\":3,\"grants\":\"call\"},"
                + "{\"name\":\"plain\",\"health_path\":\"/healthz\",\"max_conns\":120,"
                + "\"warmup_s\":3,\"cold_per_s\":8},"
                + "{\"name\":\"archive\",\"health_path\":\"/healthz\",\"max_conns\":120,"
                + "\"warmup_s\":3,\"cold_per_s\":8}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
                + "\"header_timeout_s\":3,\"idle_timeout_s\":15}}";
    }

    void startDaemons(int count) throws IOException {
        List<Integer> controls = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            controls.add(Listener.freePort());
        }
        String seeds =
                String.join(
                        ",",
                        controls.stream().limit(3).map(p -> "\"127.0.0.1:" + p + "\"").toList());
        for (int i = 0; i < count; i++) {
            Daemon daemon = new Daemon();
            daemon.mName = "front-zone-a-" + (i + 1);
            daemon.mFront = Listener.freePort();
            daemon.mReady = Listener.freePort();
            daemon.mMetrics = Listener.freePort();
            daemon.mSettings = mDirectory.resolve(daemon.mName + ".toml");
            daemon.mLog = mDirectory.resolve(daemon.mName + ".log");
            Files.writeString(
                    daemon.mSettings,
                    settings(daemon, controls.get(i), seeds),
                    StandardCharsets.UTF_8);
            mDaemons.add(daemon);
            start(daemon);
        }
    }

    private String settings(Daemon daemon, int control, String seeds) {
        return String.join(
                "\n",
                "node = \"" + daemon.mName + "\"",
                "role = \"entry\"",
                "machine_class = \"front\"",
                "serves = [\"front\",\"control\"]",
                "ip = \"127.0.0.1\"",
                "zone = \"zone-a\"",
                "region = \"region-a\"",
                "seeds = [" + seeds + "]",
                "bootstrap = true",
                "discovery = \"platform\"",
                "entry = \"vip\"",
                "heartbeat_s = 1.5",
                "grants = \"call\"",
                "[zones]",
                "zone-a = \"region-a\"",
                "[listen]",
                "front = \"127.0.0.1:" + daemon.mFront + "\"",
                "ready = \"127.0.0.1:" + daemon.mReady + "\"",
                "control = \"127.0.0.1:" + control + "\"",
                "[limits]",
                "cpu_share = 0.6",
                "cores = 1",
                "memory_limit_mb = 430",
                "max_fds = 4100",
                "link_mbps = 1000.0",
                "[tolerance]",
                "nodes = 2",
                "zones = 1",
                "[bounds]",
                "addr_reuse_s = 2",
                "stable_window_s = 3",
                "drain_s = 2",
                "grace_s = 6",
                "apply_s = 2",
                "retry_ratio = 0.2",
                "retry_window_s = 10",
                "retry_slack = 60",
                "hold_max_s = 10",
                "thaw_s = 0.3",
                "[platform]",
                "addr = \"" + mStore.address() + "\"",
                "form = \"objects\"",
                "writes_per_s = 400",
                "reads_per_s = 2000",
                "history_s = 20",
                "value_bytes = 1048576",
                "");
    }

    /** Starts a daemon with the command of the deploy file. */
    void start(Daemon daemon) throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run in deploy/system.toml");
        }
        List<String> command = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
        command.set(command.size() - 1, String.valueOf(daemon.mMetrics));
        ProcessBuilder builder = new ProcessBuilder(command);
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("GERANIUMUSHER_NODE_FILE", daemon.mSettings.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(daemon.mLog + "")));
        daemon.mProcess = builder.start();
        mRecord.line("%s starts", daemon.mName);
    }

    List<Daemon> daemons() {
        return mDaemons;
    }

    interface Condition {
        boolean holds() throws IOException;
    }

    /** Waits until the condition holds; ends the case with CANNOT_RUN after the limit. */
    void await(String what, int seconds, Condition condition) throws InterruptedException {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < end) {
            try {
                if (condition.holds()) {
                    mRecord.line("reached: %s", what);
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
            Thread.sleep(100);
        }
        recordLogs();
        finish(CANNOT_RUN, "not reached in " + seconds + " s: " + what);
    }

    /** Copies the first lines of the logs of all daemons to the record. */
    private void recordLogs() {
        for (Daemon daemon : mDaemons) {
            mRecord.line("%s is %s", daemon.mName, daemon.mProcess.isAlive() ? "alive" : "ended");
            try (Stream<String> lines = Files.lines(daemon.mLog)) {
                lines.limit(LOG_LINES).forEach(l -> mRecord.line("%s: %s", daemon.mName, l));
            } catch (IOException e) {
                mRecord.line("%s: no log: %s", daemon.mName, e);
            }
        }
    }

    boolean isReady(Daemon daemon) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", daemon.mReady)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
            return Http.read(new BufferedInputStream(socket.getInputStream())).status() == 200;
        }
    }

    String newRequestId() {
        return String.format("q%06d", mRequests.incrementAndGet());
    }

    /** Returns the text of a request without a body. */
    static String request(String method, String path, String id, int key, long deadlineMillis) {
        return String.format(
                "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n"
                        + "Shard-Key: %d\r\n%s\r\n",
                method,
                path,
                HOST,
                id,
                deadlineMillis,
                key,
                method.equals("GET") ? "" : "Content-Length: 0\r\n");
    }

    /** Sends one request over a new connection; returns its status, or 0 without an answer. */
    int send(Daemon daemon, String method, String path, int key, long deadlineMillis) {
        return send(daemon, newRequestId(), method, path, key, deadlineMillis);
    }

    int send(
            Daemon daemon, String id, String method, String path, int key, long deadlineMillis) {
        mRecord.line("client SENDS %s %s %s key %d to %s", id, method, path, key, daemon.mName);
        int status = 0;
        try (Socket socket = new Socket("127.0.0.1", daemon.mFront)) {
            socket.setSoTimeout((int) deadlineMillis + 500);
            socket.getOutputStream()
                    .write(request(method, path, id, key, deadlineMillis).getBytes());
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            status = answer == null ? 0 : answer.status();
        } catch (IOException e) {
            // No answer.
        }
        mRecord.line("client GETS %s %d", id, status);
        return status;
    }

    /** Ends the case; the exit ends all processes. */
    void finish(int code, String text) {
        String verdict =
                code == BROKEN ? "RULE BROKEN" : code == HELD ? "RULE HELD" : "CANNOT RUN";
        mRecord.line("%s: %s", verdict, text);
        System.out.println(verdict + ": " + text);
        Runtime.getRuntime().exit(code);
    }
}
