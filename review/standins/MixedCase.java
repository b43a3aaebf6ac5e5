package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The rule MIXED: one of two backends spoils a few of its answers. It answers a long request before
 * it has read the body, without a length, and is reset in the middle of the answer. The client must
 * not get a success with a part of the backend's body that looks whole.
 *
 * <p>Without the trouble such an answer goes on to its end.
 */
public final class MixedCase {
    private static final int SENDERS = 6;
    private static final int ROUNDS = 8;
    private static final int SHORT_REQUESTS = 30;
    private static final int SHORT_BODY_BYTES = 100;
    private static final long SHORT_WORK_MILLIS = 20;
    private static final int LONG_BODY_BYTES = 8_000_000;
    private static final int ANSWER_BYTES = 9_000;

    /** Largest share of its answers that a backend spoils. */
    private static final double SPOILED_SHARE = 0.03;

    private final Site mSite;
    private final AtomicInteger mAnswers = new AtomicInteger();
    private final AtomicInteger mSpoiled = new AtomicInteger();
    private final AtomicInteger mPartial = new AtomicInteger();
    private final AtomicInteger mWhole = new AtomicInteger();
    private final AtomicInteger mOther = new AtomicInteger();

    private MixedCase(Site site) {
        mSite = site;
    }

    public static void main(String[] args) throws Exception {
        new MixedCase(new Site(Path.of(args[0]))).run();
    }

    private void run() throws Exception {
        Listener spoiling = new Listener(socket -> serve(socket, "i-p0", true));
        Listener sound = new Listener(socket -> serve(socket, "i-p1", false));
        mSite.mStore.put("config", "main", Site.configuration(10));
        mSite.mStore.put("servers", "i-p0", entry(spoiling));
        mSite.mStore.put("servers", "i-p1", entry(sound));
        mSite.startDaemons(1);
        Site.Daemon daemon = mSite.daemons().get(0);
        mSite.await(daemon.mName + " is ready", 30, () -> mSite.isReady(daemon));
        Thread.sleep(500);
        List<Thread> senders = new ArrayList<>();
        for (int i = 0; i < SENDERS; i++) {
            senders.add(new Thread(() -> sendRounds(daemon)));
        }
        senders.forEach(Thread::start);
        for (Thread sender : senders) {
            sender.join();
        }
        String text =
                String.format(
                        "%d successes had a part of the backend's body, %d the whole; %d requests"
                                + " failed; i-p0 spoiled %d of %d answers",
                        mPartial.get(), mWhole.get(), mOther.get(), mSpoiled.get(), mAnswers.get());
        if (mSpoiled.get() == 0) {
            mSite.finish(Site.CANNOT_RUN, text);
        }
        mSite.finish(mPartial.get() > 0 ? Site.BROKEN : Site.HELD, text);
    }

    private void sendRounds(Site.Daemon daemon) {
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < SHORT_REQUESTS; i++) {
                send(daemon, SHORT_BODY_BYTES);
            }
            send(daemon, LONG_BODY_BYTES);
        }
    }

    private static String entry(Listener server) {
        return String.format(
                "{\"addr\":\"%s\",\"born\":%d,\"info\":{\"service\":\"plain\",\"version\":\"v1\","
                        + "\"zone\":\"zone-a\",\"slots\":2},"
                        + "\"status\":{\"state\":\"ready\",\"seq\":1,\"warmup_left_s\":0}}",
                server.address(), System.currentTimeMillis());
    }

    private void send(Site.Daemon daemon, int bodyBytes) {
        String id = mSite.newRequestId();
        mSite.mRecord.line("client SENDS %s POST /order/x with %d bytes", id, bodyBytes);
        try (Socket socket = new Socket("127.0.0.1", daemon.mFront)) {
            socket.setSoTimeout(6_000);
            OutputStream out = socket.getOutputStream();
            out.write(
                    Site.request("POST", "/order/x", id, 0, 5_000)
                            .replace("Content-Length: 0", "Content-Length: " + bodyBytes)
                            .getBytes());
            out.write(new byte[bodyBytes]);
            out.flush();
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            boolean success = answer != null && answer.status() < 300;
            boolean isWhole = success && Arrays.equals(answer.body(), answerBody(id));
            (isWhole ? mWhole : success ? mPartial : mOther).incrementAndGet();
            mSite.mRecord.line(
                    "client GETS %s %s, Content-Length %s, Server-Stamp %s, %d bytes of %d%s",
                    id,
                    answer == null ? "nothing" : answer.status(),
                    answer == null ? "-" : answer.header("content-length"),
                    answer == null ? "-" : answer.header("server-stamp"),
                    answer == null ? 0 : answer.body().length,
                    ANSWER_BYTES,
                    success && !isWhole ? "  MIXED BROKEN" : "");
        } catch (IOException e) {
            mOther.incrementAndGet();
            mSite.mRecord.line("client GETS %s no answer: %s", id, e);
        }
    }

    private static byte[] answerBody(String id) {
        byte[] body = new byte[ANSWER_BYTES];
        byte[] text = (id + ".").getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < body.length; i++) {
            body[i] = text[i % text.length];
        }
        return body;
    }

    private void serve(Socket socket, String server, boolean spoils) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (Http.Message head = Http.head(in); head != null; head = Http.head(in)) {
            String id = head.header("request-id");
            int length = Integer.parseInt(head.header("content-length"));
            mSite.mRecord.line("%s BEGIN %s, %d bytes", server, id, length);
            int answers = spoils ? mAnswers.incrementAndGet() : 0;
            if (length == LONG_BODY_BYTES && mSpoiled.get() + 1 <= SPOILED_SHARE * answers) {
                mSpoiled.incrementAndGet();
                answerEarly(socket, in, server, id, length);
                return;
            }
            in.readNBytes(length);
            try {
                Thread.sleep(SHORT_WORK_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            Http.respond(
                    out, 200, answerBody(id), "Request-Id", id, "Server-Stamp", "s-" + id);
            mSite.mRecord.line("%s END %s", server, id);
        }
    }

    private void answerEarly(
            Socket socket, InputStream in, String server, String id, int length)
            throws IOException {
        byte[] body = answerBody(id);
        OutputStream out = socket.getOutputStream();
        out.write(
                ("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s-" + id
                                + "\r\nConnection: close\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        out.write(body, 0, body.length / 2);
        try {
            Thread.sleep(200);
        } catch (InterruptedException e) {
            return;
        }
        if (mSite.mTrouble) {
            mSite.mRecord.line("%s is RESET in the middle of the answer to %s", server, id);
            Listener.reset(socket);
            return;
        }
        in.readNBytes(length);
        out.write(body, body.length / 2, body.length - body.length / 2);
        mSite.mRecord.line("%s END %s", server, id);
    }
}
