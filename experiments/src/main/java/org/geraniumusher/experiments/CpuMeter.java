package org.geraniumusher.experiments;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Measures processor time of the calling thread and retained memory. Not thread-safe. */
final class CpuMeter {
    private static final long WARM_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final long RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    private static final int REPETITIONS = 5;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final MemoryMXBean MEMORY = ManagementFactory.getMemoryMXBean();
    private static Object sSink;

    private CpuMeter() {}

    /** Returns the processor time of one call in microseconds, warmed up, over five runs. */
    static Summary micros(Supplier<?> call) {
        run(call, WARM_UP_NANOS);
        List<Double> values = new ArrayList<>();
        for (int i = 0; i < REPETITIONS; i++) {
            values.add(run(call, RUN_NANOS));
        }
        return Summary.of(values);
    }

    /** Returns the heap bytes that one of the created objects retains, over five runs. */
    static Summary retainedBytes(int copies, Supplier<?> create) {
        List<Double> values = new ArrayList<>();
        for (int i = 0; i < REPETITIONS; i++) {
            List<Object> kept = new ArrayList<>(copies);
            long before = usedBytes();
            for (int j = 0; j < copies; j++) {
                kept.add(create.get());
            }
            values.add((usedBytes() - before) / (double) copies);
            sSink = kept;
        }
        sSink = null;
        return Summary.of(values);
    }

    /** Returns median, lowest and highest as text. */
    static String text(Summary summary) {
        return String.format(
                Locale.ROOT,
                "%.1f (%.1f–%.1f)",
                summary.median(),
                summary.lowest(),
                summary.highest());
    }

    private static double run(Supplier<?> call, long nanos) {
        long start = THREADS.getCurrentThreadCpuTime();
        long used = 0;
        long calls = 0;
        while (used < nanos) {
            sSink = call.get();
            calls++;
            used = THREADS.getCurrentThreadCpuTime() - start;
        }
        return used / 1_000.0 / calls;
    }

    private static long usedBytes() {
        System.gc();
        System.gc();
        return MEMORY.getHeapMemoryUsage().getUsed();
    }
}
