package org.geraniumusher.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects the keys that callers request from keyed services and the times that servers take, since
 * the last report to the coordinator.
 *
 * <p>The keys of all requests are counted, not only of those that are answered: the responses of an
 * overloaded owner of hot keys show only that it is full, while the requests show at once by how
 * much the demand exceeds its capacity. Confined to the event loop.
 */
final class KeyedRequestStats {
    /** Limit for each list of a service; further entries until the next report are dropped. */
    private static final int MAX_ENTRIES_PER_LIST = 4_096;

    private static final String KEYS = "keys";
    private static final String RUNS = "runs";
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Map<String, ServiceStats> mServices = new HashMap<>();

    private static final class ServiceStats {
        private final List<Integer> mRequestedKeys = new ArrayList<>();
        private final List<Execution> mExecutions = new ArrayList<>();
    }

    /**
     * A request that a server executed.
     *
     * @param incarnationId ID of the incarnation of the server
     */
    record Execution(String incarnationId, long durationNanos) {}

    /**
     * What one daemon recorded about a keyed service since its last report.
     *
     * @param requestedKeys the key of each request that callers sent
     * @param executions the requests that servers executed
     */
    record Report(ImmutableList<Integer> requestedKeys, ImmutableList<Execution> executions) {}

    /** Records a request of a caller. */
    void onRequest(String service, int key) {
        List<Integer> keys = statsOf(service).mRequestedKeys;
        if (keys.size() < MAX_ENTRIES_PER_LIST) {
            keys.add(key);
        }
    }

    /** Records a request that a server executed. */
    void onExecuted(String service, String incarnationId, long durationNanos) {
        List<Execution> executions = statsOf(service).mExecutions;
        if (executions.size() < MAX_ENTRIES_PER_LIST) {
            executions.add(new Execution(incarnationId, durationNanos));
        }
    }

    private ServiceStats statsOf(String service) {
        return mServices.computeIfAbsent(service, s -> new ServiceStats());
    }

    /** Returns the reports by service and removes the recorded entries. */
    ImmutableMap<String, Report> takeReports() {
        ImmutableMap.Builder<String, Report> reports = ImmutableMap.builder();
        mServices.forEach(
                (service, stats) ->
                        reports.put(
                                service,
                                new Report(
                                        ImmutableList.copyOf(stats.mRequestedKeys),
                                        ImmutableList.copyOf(stats.mExecutions))));
        mServices.clear();
        return reports.buildOrThrow();
    }

    /** Encodes reports for another daemon; times are rounded down to milliseconds. */
    static ObjectNode encode(Map<String, Report> reports) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        reports.forEach(
                (service, report) -> {
                    ObjectNode node = root.putObject(service);
                    ArrayNode keys = node.putArray(KEYS);
                    report.requestedKeys().forEach(keys::add);
                    ArrayNode executions = node.putArray(RUNS);
                    for (Execution execution : report.executions()) {
                        executions
                                .addArray()
                                .add(execution.incarnationId())
                                .add(execution.durationNanos() / NANOS_PER_MILLI);
                    }
                });
        return root;
    }

    /** Decodes reports that {@link #encode} wrote. */
    static ImmutableMap<String, Report> decode(JsonNode root) {
        ImmutableMap.Builder<String, Report> reports = ImmutableMap.builder();
        root.properties()
                .forEach(
                        service -> {
                            ImmutableList.Builder<Integer> keys = ImmutableList.builder();
                            service.getValue().path(KEYS).forEach(key -> keys.add(key.asInt()));
                            ImmutableList.Builder<Execution> executions = ImmutableList.builder();
                            for (JsonNode execution : service.getValue().path(RUNS)) {
                                long durationNanos = execution.path(1).asLong() * NANOS_PER_MILLI;
                                executions.add(
                                        new Execution(execution.path(0).asText(), durationNanos));
                            }
                            reports.put(
                                    service.getKey(), new Report(keys.build(), executions.build()));
                        });
        return reports.buildOrThrow();
    }
}
