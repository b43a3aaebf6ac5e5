package org.geraniumusher.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.keyrange.HoldReport;
import org.geraniumusher.keyrange.KeyRange;

import java.util.Map;

/**
 * Converts reports of holds to and from the JSON form that daemons use. Times are sent as the
 * milliseconds that are left, rounded up, since daemons do not compare clocks.
 */
final class HoldReportCodec {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private HoldReportCodec() {}

    /** Encodes the holds that have not run out by {@code nowNanos}, by service. */
    static ObjectNode encode(Map<String, HoldReport> reports, long nowNanos) {
        ObjectNode services = JsonNodeFactory.instance.objectNode();
        reports.forEach(
                (service, report) -> {
                    ArrayNode holds = services.putArray(service);
                    for (HoldReport.Entry hold : report.entries()) {
                        if (hold.end() > nowNanos) {
                            holds.addArray()
                                    .add(hold.range().first())
                                    .add(hold.range().last())
                                    .add(hold.incarnationId())
                                    .add(remainingMillis(hold.end(), nowNanos))
                                    .add(remainingMillis(hold.lateGrantUntil(), nowNanos));
                        }
                    }
                });
        return services;
    }

    private static long remainingMillis(long endNanos, long nowNanos) {
        return endNanos <= nowNanos ? 0 : (endNanos - nowNanos) / NANOS_PER_MILLI + 1;
    }

    /**
     * Decodes what {@link #encode} wrote, which arrived at {@code nowNanos}; throws {@link
     * IllegalArgumentException} if it cannot.
     */
    static ImmutableMap<String, HoldReport> decode(JsonNode services, long nowNanos) {
        ImmutableMap.Builder<String, HoldReport> reports = ImmutableMap.builder();
        services.properties()
                .forEach(e -> reports.put(e.getKey(), decodeReport(e.getValue(), nowNanos)));
        return reports.buildOrThrow();
    }

    private static HoldReport decodeReport(JsonNode holds, long nowNanos) {
        ImmutableList.Builder<HoldReport.Entry> entries = ImmutableList.builder();
        for (JsonNode hold : holds) {
            entries.add(
                    new HoldReport.Entry(
                            new KeyRange(hold.path(0).asInt(), hold.path(1).asInt()),
                            hold.path(2).asText(),
                            hold.path(3).asLong() * NANOS_PER_MILLI,
                            hold.path(4).asLong() * NANOS_PER_MILLI));
        }
        return new HoldReport(entries.build()).receivedAt(nowNanos, 0);
    }
}
