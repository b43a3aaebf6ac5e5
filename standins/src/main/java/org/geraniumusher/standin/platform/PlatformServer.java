package org.geraniumusher.standin.platform;

import com.google.common.base.Splitter;

import io.netty.channel.EventLoopGroup;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.http.HttpServer;
import org.geraniumusher.http.Responder;
import org.geraniumusher.model.Address;
import org.geraniumusher.platform.Json;
import org.geraniumusher.platform.StoredObject;
import org.geraniumusher.platform.WatchEvent;
import org.geraniumusher.platform.WriteResult;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Serves an {@link ObjectStore} over HTTP and injects faults on request: outages, delays, and
 * answers that are lost after the write took effect. Thread-safe.
 */
public final class PlatformServer implements AutoCloseable {
    private static final Splitter PATH = Splitter.on('/').omitEmptyStrings();
    private static final HttpReply DOWN = HttpReply.of(503, "down");

    private final EventLoopGroup mGroup;
    private final ObjectStore mStore = ObjectStore.create();
    private final Map<Responder.LineSink, Consumer<WatchEvent>> mWatches =
            new ConcurrentHashMap<>();
    private final AtomicLong mCalls = new AtomicLong();
    private final AtomicLong mAnswersToLose = new AtomicLong();
    private final HttpServer mServer;
    private volatile Faults mFaults = new Faults(false, 0, 0);

    private PlatformServer(EventLoopGroup group, String host, int port) {
        mGroup = group;
        mServer = HttpServer.bind(group, host, port, this::handle);
    }

    /** Starts a server; port 0 means any free port. */
    public static PlatformServer start(EventLoopGroup group, String host, int port) {
        return new PlatformServer(group, host, port);
    }

    /** Returns the bound address. */
    public Address address() {
        return mServer.address();
    }

    /** Returns the store, for tests that write to it directly. */
    public ObjectStore store() {
        return mStore;
    }

    /** Replaces the faults; an outage also ends all watches. */
    public void setFaults(Faults faults) {
        mFaults = faults;
        mAnswersToLose.set(faults.answersToLose());
        if (faults.down()) {
            mWatches.keySet().forEach(this::endWatch);
        }
    }

    @Override
    public void close() {
        mServer.close();
        mWatches.keySet().forEach(this::endWatch);
    }

    private void handle(HttpCall call, Responder responder) {
        if (call.path().equals("/faults")) {
            setFaults(Json.read(call.text(), Faults.class));
            responder.reply(HttpReply.of(200, "{}"));
            return;
        }
        if (call.path().equals("/stats")) {
            responder.reply(HttpReply.of(200, "{\"calls\":" + mCalls.get() + "}"));
            return;
        }
        mCalls.incrementAndGet();
        Faults faults = mFaults;
        if (faults.down()) {
            responder.reply(DOWN);
            return;
        }
        mGroup.schedule(() -> serve(call, responder), faults.delayMillis(), TimeUnit.MILLISECONDS);
    }

    private void serve(HttpCall call, Responder responder) {
        if (call.path().equals("/v1/watch")) {
            watch(call, responder);
            return;
        }
        HttpReply reply = replyTo(call);
        boolean isWrite = !call.method().equals("GET");
        if (isWrite && mAnswersToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
            return;
        }
        responder.reply(reply);
    }

    private HttpReply replyTo(HttpCall call) {
        List<String> path = PATH.splitToList(call.path());
        if (path.size() == 2 && path.get(1).equals("objects")) {
            return HttpReply.of(200, Json.write(mStore.list(call.query("kind"))));
        }
        if (path.size() != 4 || !path.get(1).equals("objects")) {
            return HttpReply.of(404, "no such path");
        }
        String kind = path.get(2);
        String name = path.get(3);
        return switch (call.method()) {
            case "GET" -> toReply(mStore.find(kind, name));
            case "PUT" -> put(kind, name, call);
            case "DELETE" -> toReply(mStore.delete(kind, name, ifMatch(call)), kind, name, "");
            default -> HttpReply.of(405, "method not allowed");
        };
    }

    private HttpReply put(String kind, String name, HttpCall call) {
        StoredObject wanted = Json.read(call.text(), StoredObject.class);
        WriteResult result = mStore.put(kind, name, ifMatch(call), wanted.writer(), wanted.spec());
        return toReply(result, kind, name, wanted.writer());
    }

    private static long ifMatch(HttpCall call) {
        return Long.parseLong(call.header("if-match").orElse("0"));
    }

    private static HttpReply toReply(Optional<StoredObject> object) {
        return object.isEmpty()
                ? HttpReply.of(404, "no such object")
                : HttpReply.of(
                        200,
                        Json.write(
                                new org.geraniumusher.platform.ReadResult.Found(
                                        object.get().version(), List.of(object.get()))));
    }

    private static HttpReply toReply(WriteResult result, String kind, String name, String writer) {
        if (result instanceof WriteResult.Written written) {
            return HttpReply.of(
                    200, Json.write(new StoredObject(kind, name, written.version(), writer, null)));
        }
        if (result instanceof WriteResult.Conflict conflict) {
            return HttpReply.of(409, conflict.current().map(Json::write).orElse(""));
        }
        return HttpReply.of(422, ((WriteResult.Refused) result).reason());
    }

    private void watch(HttpCall call, Responder responder) {
        long since = Long.parseLong(call.query("since").orElse("0"));
        Responder.LineSink[] sink = new Responder.LineSink[1];
        Consumer<WatchEvent> watcher =
                event -> {
                    if (sink[0] == null) {
                        sink[0] = responder.startLines();
                    }
                    if (!sink[0].send(Json.write(event))) {
                        endWatch(sink[0]);
                    }
                };
        if (!mStore.watch(since, watcher)) {
            responder.reply(HttpReply.of(410, "revision is too old"));
            return;
        }
        watcher.accept(new WatchEvent(WatchEvent.Type.BOOKMARK, since, null));
        mWatches.put(sink[0], watcher);
    }

    private void endWatch(Responder.LineSink sink) {
        Consumer<WatchEvent> watcher = mWatches.remove(sink);
        if (watcher != null) {
            mStore.unwatch(watcher);
        }
        sink.close();
    }

    /**
     * Says how the server misbehaves.
     *
     * @param down whether every call is answered with 503
     * @param delayMillis delay before each call, in milliseconds
     * @param answersToLose number of writes that take effect but are not answered
     */
    public record Faults(boolean down, long delayMillis, long answersToLose) {}
}
