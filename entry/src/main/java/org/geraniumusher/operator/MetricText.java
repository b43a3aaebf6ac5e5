package org.geraniumusher.operator;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metered;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

import java.util.Locale;
import java.util.TreeMap;

/**
 * Formats metrics as lines of name, unit and value, sorted by name.
 *
 * <p>The unit of a gauge, counter or histogram is the suffix of its name after the last underscore
 * if that is {@code ns}, {@code ms}, {@code s}, {@code bytes} or {@code ratio}, and {@code count}
 * otherwise. Timers are in {@code ns}, rates in {@code per_s}.
 */
public final class MetricText {
    private final StringBuilder mLines = new StringBuilder();

    private MetricText() {}

    /** Formats all metrics of a registry, one value per line. */
    public static String of(MetricRegistry registry) {
        MetricText text = new MetricText();
        new TreeMap<>(registry.getMetrics()).forEach(text::append);
        return text.mLines.toString();
    }

    private void append(String name, Metric metric) {
        String unit = metric instanceof Timer ? "ns" : unitOf(name);
        if (metric instanceof Gauge<?> gauge) {
            appendLine(name, unit, gauge.getValue());
        }
        if (metric instanceof Counting counting) {
            boolean sampling = metric instanceof Sampling;
            appendLine(
                    sampling ? name + ".count" : name,
                    sampling ? "count" : unit,
                    counting.getCount());
        }
        if (metric instanceof Metered metered) {
            appendLine(name + ".rate_1m", "per_s", metered.getOneMinuteRate());
        }
        if (metric instanceof Sampling sampling) {
            appendQuantiles(name, unit, sampling.getSnapshot());
        }
    }

    private void appendQuantiles(String name, String unit, Snapshot snapshot) {
        appendLine(name + ".mean", unit, snapshot.getMean());
        appendLine(name + ".p50", unit, snapshot.getMedian());
        appendLine(name + ".p95", unit, snapshot.get95thPercentile());
        appendLine(name + ".p99", unit, snapshot.get99thPercentile());
        appendLine(name + ".p999", unit, snapshot.get999thPercentile());
        appendLine(name + ".max", unit, snapshot.getMax());
    }

    private void appendLine(String name, String unit, Object value) {
        String formatted =
                value instanceof Double number
                        ? String.format(Locale.ROOT, "%.3f", number)
                        : String.valueOf(value);
        mLines.append(name).append(' ').append(unit).append(' ').append(formatted).append('\n');
    }

    private static String unitOf(String name) {
        String suffix = name.substring(name.lastIndexOf('_') + 1);
        return switch (suffix) {
            case "ns", "ms", "s", "bytes", "ratio" -> suffix;
            default -> "count";
        };
    }
}
