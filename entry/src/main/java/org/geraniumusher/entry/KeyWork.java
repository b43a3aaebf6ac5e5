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
 * Collects what callers ask of keyed services and how long servers take, since the last report to
 * the coordinator.
 *
 * <p>Load pattern: a server that owns hot keys is overloaded. What it answers says no more than
 * that it is full; what callers ask for tells at once how much too much it is. Event loop only.
 */
final class KeyWork {
    private static final int MAX_ENTRIES = 4_096;
    private static final String KEYS = "keys";
    private static final String RUNS = "runs";
    private static final long MILLI_NANOS = 1_000_000;

    private final Map<String, Collected> mServices = new HashMap<>();

    private static final class Collected {
        private final List<Integer> mKeys = new ArrayList<>();
        private final List<Run> mRuns = new ArrayList<>();
    }

    /** One request that a server ran. */
    record Run(String life, long tookNanos) {}

    /**
     * What one daemon saw of a service.
     *
     * @param keys the keys of requests that callers sent
     * @param runs requests that servers ran
     */
    record Report(ImmutableList<Integer> keys, ImmutableList<Run> runs) {}

    void onAsked(String service, int key) {
        List<Integer> keys = collected(service).mKeys;
        if (keys.size() < MAX_ENTRIES) {
            keys.add(key);
        }
    }

    void onRun(String service, String life, long tookNanos) {
        List<Run> runs = collected(service).mRuns;
        if (runs.size() < MAX_ENTRIES) {
            runs.add(new Run(life, tookNanos));
        }
    }

    private Collected collected(String service) {
        return mServices.computeIfAbsent(service, s -> new Collected());
    }

    /** Returns the reports by service, and begins anew. */
    ImmutableMap<String, Report> takeAll() {
        ImmutableMap.Builder<String, Report> taken = ImmutableMap.builder();
        mServices.forEach(
                (service, c) ->
                        taken.put(
                                service,
                                new Report(
                                        ImmutableList.copyOf(c.mKeys),
                                        ImmutableList.copyOf(c.mRuns))));
        mServices.clear();
        return taken.buildOrThrow();
    }

    /** Encodes reports for another daemon; times are rounded to milliseconds. */
    static ObjectNode encode(Map<String, Report> reports) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        reports.forEach(
                (service, report) -> {
                    ObjectNode node = root.putObject(service);
                    ArrayNode keys = node.putArray(KEYS);
                    report.keys().forEach(keys::add);
                    ArrayNode runs = node.putArray(RUNS);
                    for (Run run : report.runs()) {
                        runs.addArray().add(run.life()).add(run.tookNanos() / MILLI_NANOS);
                    }
                });
        return root;
    }

    /** Decodes what {@link #encode} wrote. */
    static ImmutableMap<String, Report> decode(JsonNode root) {
        ImmutableMap.Builder<String, Report> reports = ImmutableMap.builder();
        root.properties()
                .forEach(
                        service -> {
                            ImmutableList.Builder<Integer> keys = ImmutableList.builder();
                            service.getValue().path(KEYS).forEach(key -> keys.add(key.asInt()));
                            ImmutableList.Builder<Run> runs = ImmutableList.builder();
                            for (JsonNode run : service.getValue().path(RUNS)) {
                                long took = run.path(1).asLong() * MILLI_NANOS;
                                runs.add(new Run(run.path(0).asText(), took));
                            }
                            reports.put(service.getKey(), new Report(keys.build(), runs.build()));
                        });
        return reports.buildOrThrow();
    }
}
