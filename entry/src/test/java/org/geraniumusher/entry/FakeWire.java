package org.geraniumusher.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.geraniumusher.dispatch.LoadReport;
import org.geraniumusher.model.Address;
import org.geraniumusher.traffic.RouterConfig;
import org.geraniumusher.traffic.ServerEntry;

import java.util.Optional;

/** Decodes entries of servers of one service and knows nothing else. */
final class FakeWire implements Wire {
    static final String SERVICE = "keyed";
    static final Address ADDRESS = Address.of("127.0.0.1:9");

    /** Returns the entry that a server writes. */
    static ObjectNode entry(boolean leaving) {
        return JsonNodeFactory.instance.objectNode().put("leaving", leaving);
    }

    @Override
    public StoreObject object(JsonNode content) {
        throw new IllegalArgumentException("no object: " + content);
    }

    @Override
    public HeaderNames headers() {
        return new HeaderNames("", "", "", "", "", "", "", "", "");
    }

    @Override
    public RouterConfig configuration(JsonNode spec) {
        throw new IllegalArgumentException("no configuration: " + spec);
    }

    @Override
    public ServerEntry server(StoreObject object) {
        boolean leaving = object.spec().path("leaving").asBoolean();
        return new ServerEntry(object.name(), 1, SERVICE, ADDRESS, "z", 6, leaving, 0);
    }

    @Override
    public Optional<LoadReport> load(String header) {
        return Optional.empty();
    }
}
