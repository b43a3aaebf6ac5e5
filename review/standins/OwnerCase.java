package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The rule OWNER in a small deployment under a trouble that touches one of six backends, which
 * stays up and keeps the holds that it has.
 *
 * <p>Arguments: folder of the case; the trouble, which is {@code entry} (an entry of another writer
 * with the address of the backend) or {@code refuse} (a cut that refuses).
 */
public final class OwnerCase {
    private static final int DAEMONS = 3;
    private static final int BACKENDS = 5;
    private static final int SENDERS = 6;

    private OwnerCase() {}

    public static void main(String[] args) throws Exception {
        Site site = new Site(Path.of(args[0]));
        KeyCheck check = new KeyCheck(site.mRecord);
        List<Backend> backends = new ArrayList<>();
        site.mStore.put("config", "main", Site.configuration(10));
        for (int i = 0; i < BACKENDS; i++) {
            Backend backend = new Backend("i-k" + i, "keyed", true, site.mRecord, check);
            backends.add(backend);
            site.mStore.put("servers", backend.id(), backend.entry());
        }
        Backend plain = new Backend("i-p0", "plain", false, site.mRecord, check);
        site.mStore.put("servers", plain.id(), plain.entry());
        site.startDaemons(DAEMONS);
        for (Site.Daemon daemon : site.daemons()) {
            site.await(daemon.mName + " is ready", 30, () -> site.isReady(daemon));
        }
        site.await("all keys have an owner", 20, () -> check.heldKeys() == Backend.KEYS);
        startSenders(site);
        Thread.sleep(4_000);
        Backend victim = backends.get(0);
        if (site.mTrouble) {
            site.mRecord.line("TROUBLE %s at %s begins", args[1], victim.id());
            begin(args[1], site, victim);
        }
        Thread.sleep(5_500);
        if (site.mTrouble) {
            site.mRecord.line("TROUBLE ends");
            if (args[1].equals("refuse")) {
                victim.listener().accept();
            } else {
                site.mStore.remove("servers", "inventory-7");
            }
        }
        Thread.sleep(4_000);
        site.mRecord.line("%s", check.summary());
        if (check.broken().isEmpty()) {
            site.finish(Site.HELD, check.summary());
        } else {
            site.finish(Site.BROKEN, check.broken().get(0) + "; " + check.summary());
        }
    }

    private static void begin(String trouble, Site site, Backend victim) {
        switch (trouble) {
            case "entry" ->
                    // Complete and readable, but of a service that no configuration names.
                    site.mStore.put(
                            "servers",
                            "inventory-7",
                            victim.entry()
                                    .replace("\"keyed\"", "\"inventory\"")
                                    .replaceAll(
                                            "\"born\":\\d+",
                                            "\"born\":" + System.currentTimeMillis()));
            case "refuse" -> victim.listener().refuse();
            default -> site.finish(Site.CANNOT_RUN, "no such trouble: " + trouble);
        }
    }

    /** Sends requests for keys of the whole range, some of which take two seconds. */
    private static void startSenders(Site site) {
        for (int i = 0; i < SENDERS; i++) {
            int sender = i;
            Listener.daemonThread(
                    () -> {
                        Site.Daemon daemon = site.daemons().get(sender % DAEMONS);
                        for (int n = 0; ; n++) {
                            boolean isLong = sender < DAEMONS;
                            int key = (sender * 9_973 + n * 7_919) % Backend.KEYS;
                            site.send(
                                    daemon,
                                    "POST",
                                    "/key-order/x?work_ms=" + (isLong ? 2_000 : 20),
                                    key,
                                    5_000);
                            Thread.sleep(isLong ? 100 : 50);
                        }
                    });
        }
    }
}
