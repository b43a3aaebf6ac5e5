package org.geraniumusher.entry;

import com.fasterxml.jackson.databind.JsonNode;

import org.geraniumusher.dispatch.LoadReport;
import org.geraniumusher.traffic.RouterConfig;
import org.geraniumusher.traffic.ServerEntry;

import java.util.Optional;

/** Translates what others write. Implementations are immutable. */
public interface Wire {
    /** Decodes an object as the store sends it. */
    StoreObject object(JsonNode content);

    /** Returns the names of header fields. */
    HeaderNames headers();

    /**
     * Decodes a configuration.
     *
     * @throws IllegalArgumentException when it cannot be used, with the reason
     */
    RouterConfig configuration(JsonNode spec);

    /**
     * Decodes the entry of a backend server.
     *
     * @throws IllegalArgumentException when it names no usable server, with the reason
     */
    ServerEntry server(StoreObject object);

    /** Decodes the load that a server reports with a response; empty when it cannot be read. */
    Optional<LoadReport> load(String header);
}
