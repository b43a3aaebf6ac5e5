package org.geraniumusher.model;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Names an IP number and a port. Immutable and thread-safe. */
public record Address(String host, int port) {
    /** Checks that the port is between 1 and 65535. */
    public Address {
        checkArgument(!host.isBlank(), "empty host");
        checkArgument(port > 0 && port < 65_536, "bad port: %s", port);
    }

    /** Parses {@code host:port}; an IPv6 number stands in brackets. */
    @JsonCreator
    public static Address of(String text) {
        int colon = text.lastIndexOf(':');
        checkArgument(colon > 0, "address without a port: %s", text);
        String port = text.substring(colon + 1);
        checkArgument(port.matches("\\d{1,5}"), "bad port in address: %s", text);
        return new Address(text.substring(0, colon), Integer.parseInt(port));
    }

    @JsonValue
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
