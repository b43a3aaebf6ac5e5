package org.geraniumusher.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Collects the keyed requests since the last report to the coordinator. Event loop only. */
final class KeyWork {
    private static final int MAX_SAMPLES = 4_096;

    private final Map<String, List<Sample>> mSamples = new HashMap<>();

    /** One request that ran. */
    record Sample(int key, String life, long tookNanos) {}

    void add(String service, int key, String life, long tookNanos) {
        List<Sample> samples = mSamples.computeIfAbsent(service, s -> new ArrayList<>());
        if (samples.size() < MAX_SAMPLES) {
            samples.add(new Sample(key, life, tookNanos));
        }
    }

    Map<String, List<Sample>> takeAll() {
        Map<String, List<Sample>> taken = new HashMap<>(mSamples);
        mSamples.clear();
        return taken;
    }
}
