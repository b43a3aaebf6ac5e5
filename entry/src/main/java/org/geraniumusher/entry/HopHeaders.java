package org.geraniumusher.entry;

import io.netty.handler.codec.http.HttpHeaders;

import java.util.List;

/** Removes header fields that concern only one connection. */
final class HopHeaders {
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

    private HopHeaders() {}

    static void remove(HttpHeaders headers) {
        for (String listed : headers.getAll("Connection")) {
            for (String name : listed.split(",")) {
                if (!name.isBlank() && !name.trim().equalsIgnoreCase("close")) {
                    headers.remove(name.trim());
                }
            }
        }
        NAMES.forEach(headers::remove);
    }
}
