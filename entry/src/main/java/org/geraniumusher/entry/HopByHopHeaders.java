package org.geraniumusher.entry;

import io.netty.handler.codec.http.HttpHeaders;

import java.util.List;

/**
 * Removes hop-by-hop header fields, which apply to a single connection and must not be forwarded.
 */
final class HopByHopHeaders {
    private static final List<String> NAMES =
            List.of(
                    "Connection",
                    "Keep-Alive",
                    "Proxy-Connection",
                    "Transfer-Encoding",
                    "TE",
                    "Trailer",
                    "Upgrade",
                    "Expect");

    private HopByHopHeaders() {}

    /** Removes the hop-by-hop fields and those that the {@code Connection} field names. */
    static void remove(HttpHeaders headers) {
        for (String value : headers.getAll("Connection")) {
            for (String name : value.split(",")) {
                if (!name.isBlank() && !name.trim().equalsIgnoreCase("close")) {
                    headers.remove(name.trim());
                }
            }
        }
        NAMES.forEach(headers::remove);
    }
}
