package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A sound backend server as PROTOCOL.md tells it. A keyed one runs only requests whose key it
 * holds, refuses a grant below a fence that it has seen, and answers a release when the work on
 * those keys has ended.
 */
final class Backend {
    static final int KEYS = 65_536;
    private static final int SLOTS = 6;

    private final String mId;
    private final String mService;
    private final boolean mKeyed;
    private final Record mRecord;
    private final KeyCheck mCheck;
    private final long mBorn = System.currentTimeMillis();
    private final Listener mListener = new Listener(this::serve);

    /** Guarded by the check, which compares backends. */
    final long[] mHoldEnds = new long[KEYS];

    final long[] mFences = new long[KEYS];
    final int[] mAtWork = new int[KEYS];
    private int mRunning;

    /** When each request began to run, by its id. */
    final Map<String, Long> mBegins = new ConcurrentHashMap<>();

    Backend(String id, String service, boolean keyed, Record record, KeyCheck check) {
        mId = id;
        mService = service;
        mKeyed = keyed;
        mRecord = record;
        mCheck = check;
        Arrays.fill(mHoldEnds, Long.MIN_VALUE);
        check.add(this);
    }

    String id() {
        return mId;
    }

    Listener listener() {
        return mListener;
    }

    String address() {
        return mListener.address();
    }

    boolean isKeyed() {
        return mKeyed;
    }

    /** Returns the entry that the server keeps in the store. */
    String entry() {
        return entry("ready");
    }

    String entry(String state) {
        return String.format(
                "{\"addr\":\"%s\",\"born\":%d,\"info\":{\"service\":\"%s\",\"version\":\"v1\","
                        + "\"zone\":\"zone-a\",\"slots\":%d},"
                        + "\"status\":{\"state\":\"%s\",\"seq\":1,\"warmup_left_s\":0}}",
                address(), mBorn, mService, SLOTS, state);
    }

    private void serve(Socket socket) throws IOException {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
            try {
                answer(call, socket);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void answer(Http.Message call, Socket socket)
            throws IOException, InterruptedException {
        String id = call.header("request-id") == null ? "" : call.header("request-id");
        String expected = call.header("target-instance");
        if (expected != null && !expected.equals(mId)) {
            Http.respond(
                    socket.getOutputStream(),
                    421,
                    new byte[0],
                    "Request-Id",
                    id,
                    "Instance-Id",
                    mId,
                    "Not-Executed",
                    "1");
            return;
        }
        switch (call.path()) {
            case "/grant" -> grant(Json.parseObject(call.text()), socket);
            case "/release" -> release(Json.parseObject(call.text()), socket);
            case "/healthz" ->
                    Http.respond(
                            socket.getOutputStream(), 200, new byte[0], "Instance-Id", mId);
            default -> execute(call, id, socket);
        }
    }

    private static int number(Map<String, Object> body, String field) {
        return ((Number) body.get(field)).intValue();
    }

    private void grant(Map<String, Object> body, Socket socket) throws IOException {
        int from = number(body, "from");
        int to = number(body, "to");
        long fence = ((Number) body.get("fence")).longValue();
        double holdSeconds = ((Number) body.get("hold_s")).doubleValue();
        boolean accepted =
                mCheck.grant(this, from, to, fence, (long) (holdSeconds * 1e9));
        mRecord.line(
                "%s GRANT %d-%d fence %d hold %.1f s: %s",
                mId, from, to, fence, holdSeconds, accepted ? "200" : "409");
        Http.respond(socket.getOutputStream(), accepted ? 200 : 409, new byte[0]);
    }

    private void release(Map<String, Object> body, Socket socket)
            throws IOException, InterruptedException {
        int from = number(body, "from");
        int to = number(body, "to");
        mCheck.release(this, from, to, ((Number) body.get("fence")).longValue());
        mRecord.line("%s RELEASE %d-%d", mId, from, to);
        Http.respond(socket.getOutputStream(), 200, new byte[0], "Handover", "h-" + mId);
    }

    private void execute(Http.Message call, String id, Socket socket)
            throws IOException, InterruptedException {
        int key = mKeyed ? Integer.parseInt(call.header("shard-key")) : 0;
        String work = call.query("work_ms");
        String refusal;
        synchronized (mCheck) {
            refusal = mRunning >= SLOTS ? "503" : mCheck.begin(this, key, id) ? "" : "421";
            if (refusal.isEmpty()) {
                mRunning++;
            }
        }
        if (!refusal.isEmpty()) {
            mRecord.line("%s REJECT %s key %d with %s", mId, id, key, refusal);
            Http.respond(
                    socket.getOutputStream(),
                    Integer.parseInt(refusal),
                    new byte[0],
                    "Request-Id",
                    id,
                    "Not-Executed",
                    "1");
            return;
        }
        mBegins.put(id, System.nanoTime());
        mRecord.line("%s BEGIN %s %s key %d", mId, id, call.method(), key);
        boolean held;
        try {
            Thread.sleep(work == null ? 20 : Long.parseLong(work));
        } finally {
            synchronized (mCheck) {
                mRunning--;
                held = mCheck.end(this, key);
            }
        }
        mRecord.line("%s END %s key %d %s", mId, id, key, held ? "200" : "500, its lease ran out");
        Http.respond(
                socket.getOutputStream(),
                held ? 200 : 500,
                ("body of " + id).getBytes(StandardCharsets.UTF_8),
                "Request-Id",
                id,
                "Server-Stamp",
                "s-" + id);
    }
}
