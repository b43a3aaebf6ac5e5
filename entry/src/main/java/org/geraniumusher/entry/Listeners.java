package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.entry.DecisionLog.Part;

import java.util.ArrayList;
import java.util.List;

/**
 * Listeners of a change. The failure of one is logged and does not keep the others from hearing of
 * the change. Confined to the event loop.
 */
final class Listeners {
    private final DecisionLog mLog;
    private final List<Runnable> mListeners = new ArrayList<>();

    Listeners(DecisionLog log) {
        mLog = log;
    }

    void add(Runnable listener) {
        mListeners.add(checkNotNull(listener));
    }

    /** Runs all listeners in the order in which they were added. */
    void run() {
        for (Runnable listener : mListeners) {
            try {
                listener.run();
            } catch (RuntimeException e) {
                mLog.write(Part.DAEMON, "Listener failed", "cause", e, "at", e.getStackTrace()[0]);
            }
        }
    }
}
