package org.geraniumusher.entry;

import com.fasterxml.jackson.databind.JsonNode;

import org.geraniumusher.dispatch.LoadReport;
import org.geraniumusher.traffic.RouterConfig;
import org.geraniumusher.traffic.ServerEntry;

import java.util.Optional;

/**
 * Decodes what the store and the backend servers send in the platform's formats, and names its HTTP
 * header fields. Implementations are immutable.
 */
public interface WireFormat {
    /**
     * Decodes an object as the store sends it.
     *
     * @throws IllegalArgumentException if the object is invalid, with the reason
     */
    StoreObject decodeObject(JsonNode content);

    /** Returns the names of the header fields that the router uses. */
    HeaderNames headers();

    /**
     * Decodes a configuration.
     *
     * @throws IllegalArgumentException if the configuration is invalid, with the reason
     */
    RouterConfig decodeConfiguration(JsonNode spec);

    /**
     * Decodes the entry of a backend server.
     *
     * @throws IllegalArgumentException if the entry is invalid, with the reason
     */
    ServerEntry decodeServerEntry(StoreObject object);

    /** Decodes the load header of a response; returns empty if it is invalid. */
    Optional<LoadReport> decodeLoad(String header);
}
