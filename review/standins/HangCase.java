package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The rule CONFIG while a client sends bodies below max_body_bytes: the requests of other clients
 * must have an answer half a second after the timeout of their route.
 *
 * <p>Without the trouble the bodies of the one client are of 1 MB.
 */
public final class HangCase {
    private static final int CLIENTS = 20;
    private static final int UPLOADS = 8;
    private static final int LONG_BODY_BYTES = 66_000_000;
    private static final int SHORT_BODY_BYTES = 1_000_000;
    private static final double TIMEOUT_SECONDS = 1.2;
    private static final long DEADLINE_MILLIS = 4_000;

    private HangCase() {}

    public static void main(String[] args) throws Exception {
        Site site = new Site(Path.of(args[0]));
        KeyCheck check = new KeyCheck(site.mRecord);
        site.mStore.put("config", "main", Site.configuration(TIMEOUT_SECONDS));
        for (int i = 0; i < 6; i++) {
            Backend backend = new Backend("i-p" + i, "plain", false, site.mRecord, check);
            site.mStore.put("servers", backend.id(), backend.entry());
        }
        site.startDaemons(1);
        Site.Daemon daemon = site.daemons().get(0);
        site.await(daemon.mName + " is ready", 30, () -> site.isReady(daemon));
        Thread.sleep(1_000);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger atTimeout = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
        for (int i = 0; i < CLIENTS; i++) {
            Listener.daemonThread(
                    () -> {
                        while (true) {
                            long start = System.nanoTime();
                            site.send(daemon, "GET", "/read/x?work_ms=50", 0, DEADLINE_MILLIS);
                            double seconds = Record.seconds(System.nanoTime() - start);
                            sent.incrementAndGet();
                            atTimeout.addAndGet(seconds > TIMEOUT_SECONDS ? 1 : 0);
                            late.addAndGet(seconds > TIMEOUT_SECONDS + 0.5 ? 1 : 0);
                            Thread.sleep(100);
                        }
                    });
        }
        Thread.sleep(4_000);
        site.mRecord.line("UPLOADS begin; so far %d requests, %d late", sent.get(), late.get());
        int lateBefore = late.get();
        for (int i = 0; i < UPLOADS; i++) {
            upload(site, daemon, site.mTrouble ? LONG_BODY_BYTES : SHORT_BODY_BYTES);
        }
        site.mRecord.line("UPLOADS end");
        Thread.sleep(5_000);
        String text =
                String.format(
                        "of %d requests, %d had no answer at their timeout, %d of these none 0.5 s"
                                + " later; the daemon %s",
                        sent.get(),
                        atTimeout.get(),
                        late.get(),
                        daemon.mProcess.isAlive() ? "runs" : "has ended");
        if (lateBefore > 0) {
            site.finish(Site.CANNOT_RUN, "late before the uploads: " + text);
        }
        boolean broken = late.get() >= 8 && 2 * late.get() > atTimeout.get();
        site.finish(broken ? Site.BROKEN : Site.HELD, text);
    }

    private static void upload(Site site, Site.Daemon daemon, int bytes) {
        String id = site.newRequestId();
        site.mRecord.line("client SENDS %s POST /order/x with %d bytes", id, bytes);
        try (Socket socket = new Socket("127.0.0.1", daemon.mFront)) {
            socket.setSoTimeout(8_000);
            OutputStream out = socket.getOutputStream();
            out.write(
                    Site.request("POST", "/order/x", id, 0, 8_000)
                            .replace("Content-Length: 0", "Content-Length: " + bytes)
                            .getBytes());
            out.write(new byte[bytes]);
            out.flush();
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            site.mRecord.line("client GETS %s %s", id, answer == null ? "a close" : answer.status());
        } catch (IOException e) {
            site.mRecord.line("client GETS %s no answer: %s", id, e);
        }
    }
}
