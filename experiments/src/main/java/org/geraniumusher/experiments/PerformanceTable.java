package org.geraniumusher.experiments;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.BackendServer;
import org.geraniumusher.model.ConfigObject;
import org.geraniumusher.model.DataCentre;
import org.geraniumusher.model.Labels;
import org.geraniumusher.model.Route;
import org.geraniumusher.model.Selector;
import org.geraniumusher.model.Service;
import org.geraniumusher.platform.Json;
import org.geraniumusher.platform.ObjectApi;
import org.geraniumusher.platform.WriteResult;
import org.geraniumusher.standin.backend.BackendBehaviour;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Prints the cost of the daemon against a direct connection to the same backend server, interleaved
 * in one run. The backend servers, the platform and the daemons are processes of their own; {@code
 * config/performance.sh} starts them and passes their addresses and process ids.
 */
public final class PerformanceTable {
    private static final int[] CONNECTIONS = {1, 8, 32};
    private static final int FIXED_ARGUMENTS = 6;
    private static final int PAIRS = 5;
    private static final long RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    private static final long WARM_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);
    private static final int SLOTS = 64;
    private static final double CLOCK_TICKS_PER_SECOND = 100;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int WAIT_SECONDS = 30;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final HttpClient mClient = HttpClient.create(mGroup);
    private final ObjectApi mApi;
    private final ImmutableList<BackendServer> mServers;
    private final Address mDaemon;
    private final List<Long> mDaemonProcesses = new ArrayList<>();

    private PerformanceTable(String[] args) {
        checkArgument(
                args.length >= FIXED_ARGUMENTS,
                "PLATFORM BACKEND0 BACKEND1 DAEMON PID0 PID1 [CONNECTIONS..] expected");
        mApi = ObjectApi.create(mClient, Address.of(args[0]));
        mServers = ImmutableList.of(server(0, args[1]), server(1, args[2]));
        mDaemon = Address.of(args[3]);
        mDaemonProcesses.add(Long.parseLong(args[4]));
        mDaemonProcesses.add(Long.parseLong(args[5]));
    }

    /** Names a path of a request from the client to the backend server. */
    private enum Way {
        DIRECT("direct", 0),
        ONE_DAEMON("one daemon", 0),
        TWO_DAEMONS("two daemons", 1);

        private final String mTitle;
        private final int mServer;

        Way(String title, int server) {
            mTitle = title;
            mServer = server;
        }
    }

    /** Holds the figures of one run. */
    private record Run(
            double medianMicros, double tailMicros, double perSecond, double cores, long failures) {
        double perCore() {
            return cores == 0 ? 0 : perSecond / cores;
        }
    }

    /** Prints the table; arguments: platform, two backend servers, daemon, two process ids. */
    public static void main(String[] args) throws Exception {
        PerformanceTable table = new PerformanceTable(args);
        table.prepare();
        table.printHeader();
        for (int connections : connections(args)) {
            table.measure(connections);
        }
        table.mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static int[] connections(String[] args) {
        int[] given =
                Arrays.stream(args).skip(FIXED_ARGUMENTS).mapToInt(Integer::parseInt).toArray();
        return given.length == 0 ? CONNECTIONS : given;
    }

    private static BackendServer server(int index, String address) {
        return new BackendServer(
                "server-" + index,
                Address.of(address),
                "centre-" + index,
                Labels.of("app", "service-" + index),
                SLOTS,
                SLOTS,
                0,
                true);
    }

    private void prepare() throws InterruptedException, IOException {
        for (int i = 0; i < mServers.size(); i++) {
            write(new DataCentre("centre-" + i, "region", Labels.of()));
            write(mServers.get(i));
            write(new Service("service-" + i, null, Selector.of("app=service-" + i), false, 16));
            write(route(i));
            setFast(mServers.get(i).address());
        }
        for (Way way : Way.values()) {
            awaitServing(way);
            LoadClient.run(mGroup, target(way), uri(way), 8, WARM_UP_NANOS);
        }
    }

    private static Route route(int index) {
        return new Route(
                "route-" + index,
                null,
                "*",
                "/way-" + index,
                ImmutableList.of(),
                "service-" + index,
                null,
                null,
                5_000,
                null,
                null);
    }

    private void write(ConfigObject object) throws InterruptedException {
        for (int i = 0; i < WAIT_SECONDS * 10; i++) {
            WriteResult result =
                    mApi.put(object.kind().path(), object.name(), 0, "load", Json.toTree(object))
                            .join();
            if (result instanceof WriteResult.Written) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        throw new IllegalStateException("the platform did not take " + object.name());
    }

    /** Removes the service time, so that the cost of the daemon is not hidden by it. */
    private void setFast(Address server) {
        BackendBehaviour fast = new BackendBehaviour(SLOTS, SLOTS, 0, 0, 1, true, 0);
        mClient.call(
                        server,
                        HttpCall.of("POST", "/geraniumusher/behaviour", Json.write(fast)),
                        TIMEOUT)
                .join();
    }

    private void awaitServing(Way way) throws InterruptedException {
        for (int i = 0; i < WAIT_SECONDS * 10; i++) {
            boolean answered =
                    mClient.call(target(way), HttpCall.of("GET", uri(way)), TIMEOUT)
                            .handle((reply, error) -> error == null && reply.isOk())
                            .join();
            if (answered) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        throw new IllegalStateException("no answer by way of " + way.mTitle);
    }

    private Address target(Way way) {
        return way == Way.DIRECT ? mServers.get(0).address() : mDaemon;
    }

    private static String uri(Way way) {
        return "/way-" + way.mServer + "/a";
    }

    private void measure(int connections) throws InterruptedException, IOException {
        Map<Way, List<Run>> runs = new EnumMap<>(Way.class);
        for (int i = 0; i < PAIRS; i++) {
            for (Way way : Way.values()) {
                runs.computeIfAbsent(way, w -> new ArrayList<>()).add(run(way, connections));
            }
        }
        for (Way way : Way.values()) {
            printRow(connections, way, runs.get(Way.DIRECT), runs.get(way));
        }
    }

    private Run run(Way way, int connections) throws InterruptedException, IOException {
        double before = daemonSeconds(way);
        LoadClient.Result result =
                LoadClient.run(mGroup, target(way), uri(way), connections, RUN_NANOS);
        double used = daemonSeconds(way) - before;
        return new Run(
                result.latency().getValueAtPercentile(50) / 1_000.0,
                result.latency().getValueAtPercentile(99) / 1_000.0,
                result.requestsPerSecond(),
                used * 1e9 / result.nanos(),
                result.failures());
    }

    /** Returns the processor seconds used so far by the daemons on the way. */
    private double daemonSeconds(Way way) throws IOException {
        double seconds = 0;
        for (int i = 0; i < way.ordinal(); i++) {
            seconds += processSeconds(mDaemonProcesses.get(i));
        }
        return seconds;
    }

    /** Reads user and system time of a process, in clock ticks, from its stat file. */
    private static double processSeconds(long process) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / CLOCK_TICKS_PER_SECOND;
    }

    private void printHeader() {
        System.out.println(
                "| connections | way | median µs | added | 99th percentile µs | added"
                        + " | requests a second | requests a second per core of the daemons"
                        + " | failures |");
        System.out.println("|---|---|---|---|---|---|---|---|---|");
    }

    private static void printRow(int connections, Way way, List<Run> direct, List<Run> runs) {
        List<Double> medians = new ArrayList<>();
        List<Double> addedMedians = new ArrayList<>();
        List<Double> tails = new ArrayList<>();
        List<Double> addedTails = new ArrayList<>();
        List<Double> rates = new ArrayList<>();
        List<Double> perCore = new ArrayList<>();
        long failures = 0;
        for (int i = 0; i < runs.size(); i++) {
            Run run = runs.get(i);
            medians.add(run.medianMicros());
            addedMedians.add(run.medianMicros() - direct.get(i).medianMicros());
            tails.add(run.tailMicros());
            addedTails.add(run.tailMicros() - direct.get(i).tailMicros());
            rates.add(run.perSecond());
            perCore.add(run.perCore());
            failures += run.failures();
        }
        System.out.printf(
                "| %d | %s | %s | %s | %s | %s | %s | %s | %d |%n",
                connections,
                way.mTitle,
                text(medians),
                text(addedMedians),
                text(tails),
                text(addedTails),
                text(rates),
                text(perCore),
                failures);
    }

    private static String text(List<Double> values) {
        Summary summary = Summary.of(values);
        return String.format(
                Locale.ROOT,
                "%.0f (%.0f–%.0f)",
                summary.median(),
                summary.lowest(),
                summary.highest());
    }
}
