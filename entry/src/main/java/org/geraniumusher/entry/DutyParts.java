package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.LongSupplier;

/** What the duties of a daemon share. Immutable; the parts are confined to the event loop. */
record DutyParts(
        EntrySettings settings,
        long incarnation,
        Directory directory,
        Store store,
        ServerControl control,
        EventThread thread,
        LongSupplier clock,
        DecisionLog log,
        EntryMetrics metrics) {
    DutyParts {
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
