package review;

import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's metadata store as PROTOCOL.md tells it: one revision counter, conditional writes,
 * watches; a PUT that changes nothing does not raise the revision.
 */
final class Store {
    /** Largest number of objects of a page. */
    private static final int PAGE = 500;

    private final Map<String, TreeMap<String, Map<String, Object>>> mKinds = new TreeMap<>();
    private final List<Object[]> mHistory = new ArrayList<>();
    private final Listener mListener = new Listener(this::serve);
    private long mRevision = 1;

    /** Runs once, between two pages of the next list of servers, if set. */
    private Runnable mBetweenPages;

    String address() {
        return mListener.address();
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return mKinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    /** Creates or replaces an object, as the operator or a server does. */
    synchronized void put(String kind, String name, String spec) {
        write(kind, name, Json.parse(spec));
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> object = kind(kind).remove(name);
        if (object != null) {
            mHistory.add(new Object[] {kind, ++mRevision, object, true});
            notifyAll();
        }
    }

    /** Returns the object's spec as text, or null. */
    synchronized String spec(String kind, String name) {
        Map<String, Object> object = kind(kind).get(name);
        return object == null ? null : Json.write(object.get("spec"));
    }

    private Map<String, Object> write(String kind, String name, Object spec) {
        Map<String, Object> old = kind(kind).get(name);
        if (old != null && old.get("spec").equals(spec)) {
            return old;
        }
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("rev", ++mRevision);
        metadata.put(
                "create_rev",
                old == null ? mRevision : ((Map<?, ?>) old.get("metadata")).get("create_rev"));
        metadata.put("finalizers", List.of());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", spec);
        object.put("status", Map.of());
        kind(kind).put(name, object);
        mHistory.add(new Object[] {kind, mRevision, object, false});
        notifyAll();
        return object;
    }

    private static long revision(Map<String, Object> object) {
        return (Long) ((Map<?, ?>) object.get("metadata")).get("rev");
    }

    private void serve(Socket socket) throws IOException {
        var in = new java.io.BufferedInputStream(socket.getInputStream());
        for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
            Object[] reply;
            try {
                reply = answer(call);
            } catch (InterruptedException e) {
                return;
            }
            Http.respond(
                    socket.getOutputStream(),
                    (Integer) reply[0],
                    Json.write(reply[1]).getBytes(StandardCharsets.UTF_8),
                    "Content-Type",
                    "application/json");
        }
    }

    private synchronized Object[] answer(Http.Message call) throws InterruptedException {
        String[] path = call.path().split("/");
        String kind = path[2];
        String name =
                path.length > 3 ? URLDecoder.decode(path[3], StandardCharsets.UTF_8) : null;
        switch (call.method()) {
            case "GET":
                if (call.query("watch") != null) {
                    return watch(kind, call);
                }
                if (name != null) {
                    Map<String, Object> object = kind(kind).get(name);
                    return object == null ? status(404) : new Object[] {200, object};
                }
                String after = call.query("after") == null ? "" : call.query("after");
                return list(kind, after);
            case "POST":
            case "PUT":
                Map<String, Object> body = Json.parseObject(call.text());
                Map<?, ?> metadata = (Map<?, ?>) body.get("metadata");
                String target = (String) metadata.get("name");
                Map<String, Object> old = kind(kind).get(target);
                if (call.method().equals("POST")) {
                    return old != null
                            ? new Object[] {409, old}
                            : new Object[] {200, write(kind, target, body.get("spec"))};
                }
                if (old == null) {
                    return status(404);
                }
                Object rev = metadata.get("rev");
                return rev != null && (Long) rev != revision(old)
                        ? new Object[] {409, old}
                        : new Object[] {200, write(kind, target, body.get("spec"))};
            default:
                Map<String, Object> present = kind(kind).get(name);
                if (present == null) {
                    return status(404);
                }
                if (call.query("rev") != null
                        && Long.parseLong(call.query("rev")) != revision(present)) {
                    return new Object[] {409, present};
                }
                remove(kind, name);
                return status(200);
        }
    }

    private Object[] list(String kind, String after) {
        List<Object> items = new ArrayList<>(kind(kind).tailMap(after, false).values());
        boolean more = items.size() > PAGE;
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("items", more ? new ArrayList<>(items.subList(0, PAGE)) : items);
        page.put("more", more);
        page.put("current_rev", mRevision);
        if (more && kind.equals("servers") && mBetweenPages != null) {
            Runnable task = mBetweenPages;
            mBetweenPages = null;
            task.run();
        }
        return new Object[] {200, page};
    }

    /** Sets what happens right after the store has served the first page of a list of servers. */
    synchronized void setBetweenPages(Runnable task) {
        mBetweenPages = task;
    }

    private static Object[] status(int status) {
        return new Object[] {status, Map.of()};
    }

    private Object[] watch(String kind, Http.Message call) throws InterruptedException {
        long from = Long.parseLong(call.query("watch"));
        long waitMillis =
                call.query("wait_ms") == null ? 0 : Long.parseLong(call.query("wait_ms"));
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Object[] change : mHistory) {
                if (change[0].equals(kind) && (Long) change[1] > from) {
                    Map<String, Object> event = new LinkedHashMap<>();
                    event.put("object", change[2]);
                    event.put("removed", change[3]);
                    events.add(event);
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                Map<String, Object> result = new LinkedHashMap<>();
                result.put("events", events);
                result.put("current_rev", mRevision);
                return new Object[] {200, result};
            }
            wait(left);
        }
    }
}
