package org.geraniumusher.http;

import com.google.common.collect.ImmutableSet;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

import java.util.List;
import java.util.Locale;

/** Names the header fields of the project and removes those that end at one hop. Thread-safe. */
public final class HeaderNames {
    /** Prefix of all header fields of the project. */
    public static final String PREFIX = "geraniumusher-";

    /** Numeric result code of a response. */
    public static final String RESULT = PREFIX + "result";

    /** What is known about execution: {@code not-run}, {@code ran} or {@code unknown}. */
    public static final String OUTCOME = PREFIX + "outcome";

    /** Backend server that executed the request. */
    public static final String SERVER = PREFIX + "server";

    /** Service of the request. */
    public static final String SERVICE = PREFIX + "service";

    /** Hash of the key, 16 hexadecimal digits. */
    public static final String HASH = PREFIX + "hash";

    /** Epoch of the slice. */
    public static final String EPOCH = PREFIX + "epoch";

    /** Time left until the deadline, in milliseconds. */
    public static final String DEADLINE_MILLIS = PREFIX + "deadline-millis";

    /** Identifier of the request, the same in all attempts. */
    public static final String REQUEST_ID = PREFIX + "request-id";

    /** Class of the request in queues. */
    public static final String PRIORITY = PREFIX + "priority";

    /** Whether the request may run more than once. */
    public static final String IDEMPOTENT = PREFIX + "idempotent";

    /** Load of a server's gate, told by the gateway daemon: running, queued, usable, nanos. */
    public static final String LOAD = PREFIX + "load";

    private static final ImmutableSet<String> HOP_BY_HOP =
            ImmutableSet.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "upgrade",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "expect");

    /** A message without these fields would be cut differently at the next hop. */
    private static final ImmutableSet<String> FRAMING =
            ImmutableSet.of("transfer-encoding", "content-length");

    private HeaderNames() {}

    /** Removes the fields that must not pass a proxy, and those that Connection names. */
    public static void removeHopByHop(HttpHeaders headers) {
        List<String> connection = headers.getAll(HttpHeaderNames.CONNECTION);
        for (String name : HOP_BY_HOP) {
            headers.remove(name);
        }
        for (String value : connection) {
            removeNamed(headers, value);
        }
    }

    private static void removeNamed(HttpHeaders headers, String names) {
        for (String part : names.split(",")) {
            String name = part.strip().toLowerCase(Locale.ROOT);
            if (!name.isEmpty() && !FRAMING.contains(name)) {
                headers.remove(name);
            }
        }
    }

    /** Removes all header fields of the project. */
    public static void removeOwn(HttpHeaders headers) {
        for (String name : List.copyOf(headers.names())) {
            if (name.toLowerCase(Locale.ROOT).startsWith(PREFIX)) {
                headers.remove(name);
            }
        }
    }
}
