package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Objects that the components of a daemon share. Immutable. The directory is confined to the event
 * loop; the other objects are thread-safe.
 *
 * @param incarnation identifies this run of the daemon; increases with each start
 * @param clock monotonic, in nanoseconds; detects suspensions of the machine
 */
record DaemonContext(
        EntrySettings settings,
        long incarnation,
        Directory directory,
        Store store,
        ServerControl control,
        EventThread thread,
        SuspensionClock clock,
        DecisionLog log,
        EntryMetrics metrics) {
    DaemonContext {
        checkNotNull(settings);
        checkNotNull(directory);
        checkNotNull(store);
        checkNotNull(control);
        checkNotNull(thread);
        checkNotNull(clock);
        checkNotNull(log);
        checkNotNull(metrics);
    }
}
