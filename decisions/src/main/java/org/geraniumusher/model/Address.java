package org.geraniumusher.model;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** A host, usually an IP address, and a port. Immutable and thread-safe. */
public record Address(String host, int port) {
    /** Checks that the host is not blank and the port is between 1 and 65535. */
    public Address {
        checkArgument(!host.isBlank(), "host is blank");
        checkArgument(port > 0 && port < 65_536, "port is not between 1 and 65535: %s", port);
    }

    /**
     * Parses {@code host:port}; an IPv6 address must be in brackets, which are kept in the host.
     */
    @JsonCreator
    public static Address of(String text) {
        int colon = text.lastIndexOf(':');
        checkArgument(colon > 0, "address has no port: %s", text);
        String port = text.substring(colon + 1);
        checkArgument(port.matches("\\d{1,5}"), "address has an invalid port: %s", text);
        return new Address(text.substring(0, colon), Integer.parseInt(port));
    }

    @JsonValue
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
