package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * The rule DRAIN: a backend reports that it is draining while a daemon that was restarted as planned
 * reads the list of servers, which has two pages. No request may reach it later than drain_s after
 * the store accepted the report, from a daemon in touch.
 *
 * <p>Without the trouble it reports when the daemon has read the list.
 */
public final class DrainCase {
    private static final int OTHER_SERVERS = 600;
    private static final int SENDERS = 8;
    private static final double DRAIN_SECONDS = 2;
    private static final double STABLE_SECONDS = 3;

    /** How long the backend serves after its report; the pages allow many seconds. */
    private static final long SERVES_MILLIS = 8_000;

    private DrainCase() {}

    public static void main(String[] args) throws Exception {
        Site site = new Site(Path.of(args[0]));
        KeyCheck check = new KeyCheck(site.mRecord);
        site.mStore.put("config", "main", Site.configuration(10));
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Backend backend = new Backend("i-a" + i, "plain", false, site.mRecord, check);
            backends.add(backend);
            site.mStore.put("servers", backend.id(), backend.entry());
        }
        List<ServerSocket> others = putOtherServers(site);
        site.startDaemons(2);
        for (Site.Daemon daemon : site.daemons()) {
            site.await(daemon.mName + " is ready", 30, () -> site.isReady(daemon));
        }
        Site.Daemon restarted = site.daemons().get(1);
        Backend draining = backends.get(0);
        Map<String, Site.Daemon> senders = new ConcurrentHashMap<>();
        Map<String, Integer> statuses = new ConcurrentHashMap<>();
        startSenders(site, senders, statuses);
        Thread.sleep(3_000);

        site.mRecord.line("SIGTERM to %s", restarted.mName);
        restarted.mProcess.destroy();
        restarted.mProcess.waitFor(10, TimeUnit.SECONDS);
        long[] reported = new long[1];
        Runnable report =
                () -> {
                    reported[0] = System.nanoTime();
                    site.mRecord.line("%s reports draining, the store accepts it", draining.id());
                    site.mStore.put("servers", draining.id(), draining.entry("draining"));
                };
        if (site.mTrouble) {
            site.mStore.setBetweenPages(report);
        }
        long startedAt = System.nanoTime();
        site.start(restarted);
        site.await(restarted.mName + " is ready again", 30, () -> site.isReady(restarted));
        if (!site.mTrouble) {
            report.run();
        }
        if (reported[0] == 0) {
            site.finish(Site.CANNOT_RUN, "the list was not read in pages");
        }
        Thread.sleep(SERVES_MILLIS);
        site.mRecord.line("%s ends", draining.id());
        draining.listener().refuse();
        site.mStore.remove("servers", draining.id());
        Thread.sleep(2_000);

        long latest =
                Math.max(
                        reported[0] + (long) (DRAIN_SECONDS * 1e9),
                        startedAt + (long) (STABLE_SECONDS * 1e9));
        int late = 0;
        int lost = 0;
        for (Map.Entry<String, Long> begin : draining.mBegins.entrySet()) {
            if (senders.get(begin.getKey()) == restarted && begin.getValue() > latest) {
                late++;
                int status = statuses.getOrDefault(begin.getKey(), 0);
                if (status != 200) {
                    lost++;
                    site.mRecord.line("order %s was lost: %d", begin.getKey(), status);
                }
            }
        }
        String text =
                String.format(
                        "%d orders reached %s more than %.0f s after its report, through a daemon"
                                + " that ran for over %.0f s; %d of them were lost at its end",
                        late, draining.id(), DRAIN_SECONDS, STABLE_SECONDS, lost);
        others.forEach(DrainCase::close);
        site.finish(late > 0 ? Site.BROKEN : Site.HELD, text);
    }

    /** Registers servers of a service that gets no requests, so that the list has two pages. */
    private static List<ServerSocket> putOtherServers(Site site) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < OTHER_SERVERS; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            sockets.add(socket);
            site.mStore.put(
                    "servers",
                    String.format("i-m%03d", i),
                    String.format(
                            "{\"addr\":\"127.0.0.1:%d\",\"born\":%d,\"info\":{\"service\":"
                                    + "\"archive\",\"version\":\"v1\",\"zone\":\"zone-a\","
                                    + "\"slots\":6},\"status\":{\"state\":\"ready\",\"seq\":1,"
                                    + "\"warmup_left_s\":0}}",
                            socket.getLocalPort(), System.currentTimeMillis()));
        }
        return sockets;
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    private static void startSenders(
            Site site, Map<String, Site.Daemon> senders, Map<String, Integer> statuses) {
        for (int i = 0; i < SENDERS; i++) {
            Site.Daemon daemon = site.daemons().get(i % 2);
            Listener.daemonThread(
                    () -> {
                        while (true) {
                            String id = site.newRequestId();
                            senders.put(id, daemon);
                            int status =
                                    site.send(
                                            daemon, id, "POST", "/order/x?work_ms=200", 0, 5_000);
                            statuses.put(id, status);
                            Thread.sleep(status == 200 ? 20 : 100);
                        }
                    });
        }
    }
}
