package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.dispatch.LoadReport;
import org.geraniumusher.model.Address;
import org.geraniumusher.traffic.RouterConfig;
import org.geraniumusher.traffic.ServerEntry;
import org.geraniumusher.traffic.ServiceRule;
import org.geraniumusher.traffic.TrafficLimits;

import java.util.Optional;

/**
 * Decodes server entries, by default of {@link #SERVICE}, and configurations that have no routes
 * and name services and keyed services in an array each; rejects objects without a name.
 */
final class FakeWireFormat implements WireFormat {
    static final String SERVICE = "keyed";
    static final Address ADDRESS = Address.of("127.0.0.1:9");

    /** Returns the spec that a server of {@link #SERVICE} writes. */
    static ObjectNode serverSpec(int port, boolean leaving) {
        return JsonNodeFactory.instance.objectNode().put("port", port).put("leaving", leaving);
    }

    /** Returns the spec of a server of {@link #SERVICE} that started later. */
    static ObjectNode laterServerSpec(int port) {
        return serverSpec(port, false).put("born", 2);
    }

    /** Returns the spec of a server of another service that started later. */
    static ObjectNode laterServerSpecOfOtherService(int port) {
        return laterServerSpec(port).put("service", "other");
    }

    @Override
    public StoreObject decodeObject(JsonNode content) {
        checkArgument(content.has("name"), "unexpected store object: %s", content);
        return new StoreObject(
                content.path("name").asText(), content.path("revision").asLong(), content, content);
    }

    @Override
    public HeaderNames headers() {
        return new HeaderNames(
                "id",
                "deadline",
                "signature",
                "server",
                "not",
                "by",
                "load",
                "key",
                "handover",
                "leaving",
                "limit");
    }

    @Override
    public RouterConfig decodeConfiguration(JsonNode spec) {
        checkArgument(spec.path("version").isIntegralNumber(), "bad configuration: %s", spec);
        ImmutableMap.Builder<String, ServiceRule> services = ImmutableMap.builder();
        for (JsonNode name : spec.path("services")) {
            services.put(name.asText(), new ServiceRule(name.asText(), false, "", 0, 0, 0));
        }
        for (JsonNode name : spec.path("keyed_services")) {
            services.put(name.asText(), new ServiceRule(name.asText(), true, "", 0, 0, 0));
        }
        return RouterConfig.of(
                spec.path("version").asLong(),
                ImmutableList.of(),
                services.buildOrThrow(),
                TrafficLimits.DEFAULT);
    }

    @Override
    public ServerEntry decodeServerEntry(StoreObject object) {
        JsonNode spec = object.spec();
        return new ServerEntry(
                object.name(),
                spec.path("born").asLong(1),
                spec.path("service").asText(SERVICE),
                new Address("127.0.0.1", spec.path("port").asInt()),
                "z",
                6,
                "",
                spec.path("leaving").asBoolean(),
                0);
    }

    @Override
    public Optional<LoadReport> decodeLoad(String header) {
        return Optional.empty();
    }
}
