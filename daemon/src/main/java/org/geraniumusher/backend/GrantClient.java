package org.geraniumusher.backend;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.model.Address;
import org.geraniumusher.ownership.Grant;
import org.geraniumusher.platform.Json;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Polls backend servers and sends them grants. Thread-safe; never blocks. */
public final class GrantClient {
    /** A poll that takes longer is of no use: the next one follows after 250 ms. */
    private static final Duration TIMEOUT = Duration.ofMillis(240);

    private final HttpClient mClient;

    private GrantClient(HttpClient client) {
        mClient = checkNotNull(client);
    }

    /** Returns a client that makes its calls with {@code client}. */
    public static GrantClient create(HttpClient client) {
        return new GrantClient(client);
    }

    /** Asks a server for its incarnation, clock reading and acknowledged grants. */
    public CompletableFuture<BackendProtocol.Status> poll(Address server) {
        return call(server, HttpCall.of("GET", BackendProtocol.STATUS_PATH));
    }

    /** Sends a grant; the status that answers names it once it is acknowledged. */
    public CompletableFuture<BackendProtocol.Status> grant(Address server, Grant grant) {
        return call(server, HttpCall.of("POST", BackendProtocol.GRANT_PATH, Json.write(grant)));
    }

    private CompletableFuture<BackendProtocol.Status> call(Address server, HttpCall call) {
        return mClient.call(server, call, TIMEOUT)
                .thenApply(reply -> Json.read(reply.text(), BackendProtocol.Status.class));
    }
}
