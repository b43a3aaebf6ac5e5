package org.geraniumusher.entry;

import org.geraniumusher.entry.DecisionLog.Part;

import java.util.function.Consumer;

/** Reports connections that a listening socket could not accept. Stateless and thread-safe. */
final class AcceptFailures {
    private AcceptFailures() {}

    /**
     * Returns a listener that logs and counts failures to accept a connection.
     *
     * @param endpoint who connects there, for the log
     */
    static Consumer<Throwable> listener(DecisionLog log, EntryMetrics metrics, String endpoint) {
        return cause -> {
            metrics.onAcceptFailure();
            log.write(
                    Part.DAEMON,
                    "Cannot accept a connection",
                    "endpoint",
                    endpoint,
                    "cause",
                    cause);
        };
    }
}
