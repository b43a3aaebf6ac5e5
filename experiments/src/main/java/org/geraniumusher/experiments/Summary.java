package org.geraniumusher.experiments;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;

/** Holds the median and the spread of a figure over several runs. Immutable and thread-safe. */
record Summary(double median, double lowest, double highest) {
    static Summary of(List<Double> values) {
        checkArgument(!values.isEmpty(), "no values");
        List<Double> sorted = values.stream().sorted().toList();
        int last = sorted.size() - 1;
        return new Summary(sorted.get(last / 2), sorted.get(0), sorted.get(last));
    }
}
