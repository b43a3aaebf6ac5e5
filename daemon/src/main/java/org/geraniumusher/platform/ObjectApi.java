package org.geraniumusher.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.Address;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Calls the platform's object API. Futures never fail: errors are values of the sealed results.
 * Thread-safe.
 */
public final class ObjectApi {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient mClient;
    private final Address mAddress;

    private ObjectApi(HttpClient client, Address address) {
        mClient = checkNotNull(client);
        mAddress = checkNotNull(address);
    }

    /** Returns a client of the API at {@code address}. */
    public static ObjectApi create(HttpClient client, Address address) {
        return new ObjectApi(client, address);
    }

    /** Writes an object if its version is still {@code expectedVersion}; 0 means create. */
    public CompletableFuture<WriteResult> put(
            String kind, String name, long expectedVersion, String writer, JsonNode spec) {
        String body = Json.write(new StoredObject(kind, name, expectedVersion, writer, spec));
        HttpCall call =
                HttpCall.of("PUT", path(kind, name), body)
                        .withHeader("if-match", Long.toString(expectedVersion));
        return write(call);
    }

    /** Deletes an object if its version is still {@code expectedVersion}. */
    public CompletableFuture<WriteResult> delete(String kind, String name, long expectedVersion) {
        HttpCall call =
                HttpCall.of("DELETE", path(kind, name))
                        .withHeader("if-match", Long.toString(expectedVersion));
        return write(call);
    }

    /** Reads one object; the result holds no object when there is none. */
    public CompletableFuture<ReadResult> get(String kind, String name) {
        return read(HttpCall.of("GET", path(kind, name)));
    }

    /** Lists the objects of a kind. */
    public CompletableFuture<ReadResult> list(String kind) {
        return read(HttpCall.of("GET", "/v1/objects?kind=" + kind));
    }

    /** Lists all objects. */
    public CompletableFuture<ReadResult> listAll() {
        return read(HttpCall.of("GET", "/v1/objects"));
    }

    /**
     * Watches all changes after revision {@code since}. {@code onClosed} gets the HTTP status: 410
     * when the revision is too old and the caller must list again, 0 when there was no reply.
     */
    public AutoCloseable watch(
            long since, Consumer<WatchEvent> onEvent, Consumer<Integer> onClosed) {
        return mClient.lines(
                mAddress,
                HttpCall.of("GET", "/v1/watch?since=" + since),
                line -> onEvent.accept(Json.read(line, WatchEvent.class)),
                onClosed);
    }

    private CompletableFuture<WriteResult> write(HttpCall call) {
        return mClient.call(mAddress, call, TIMEOUT)
                .handle(
                        (reply, error) ->
                                error == null
                                        ? toWriteResult(reply)
                                        : new WriteResult.Unknown(error.toString()));
    }

    private static WriteResult toWriteResult(HttpReply reply) {
        if (reply.isOk()) {
            return new WriteResult.Written(Json.read(reply.text(), StoredObject.class).version());
        }
        if (reply.status() == 409) {
            return new WriteResult.Conflict(
                    reply.body().length == 0
                            ? Optional.empty()
                            : Optional.of(Json.read(reply.text(), StoredObject.class)));
        }
        if (reply.status() / 100 == 4) {
            return new WriteResult.Refused(reply.text());
        }
        return new WriteResult.Unknown("status " + reply.status());
    }

    private CompletableFuture<ReadResult> read(HttpCall call) {
        return mClient.call(mAddress, call, TIMEOUT)
                .handle(
                        (reply, error) ->
                                error == null
                                        ? toReadResult(reply)
                                        : new ReadResult.Unavailable(error.toString()));
    }

    private static ReadResult toReadResult(HttpReply reply) {
        if (reply.isOk()) {
            return Json.read(reply.text(), ReadResult.Found.class);
        }
        if (reply.status() == 404) {
            return new ReadResult.Found(0, ImmutableList.of());
        }
        return new ReadResult.Unavailable("status " + reply.status());
    }

    private static String path(String kind, String name) {
        return "/v1/objects/" + kind + "/" + name;
    }
}
