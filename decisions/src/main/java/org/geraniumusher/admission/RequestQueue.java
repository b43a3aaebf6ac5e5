package org.geraniumusher.admission;

import org.geraniumusher.model.Route.Priority;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Holds waiting requests, orders before reads.
 *
 * <p>Each class keeps the order of arrival; orders leave in that order, reads also newest first.
 * Removal by id is linear, since the queue is short. Not thread-safe.
 */
final class RequestQueue {
    private final Map<Priority, ArrayDeque<GateRequest>> mRequests = new EnumMap<>(Priority.class);

    RequestQueue() {
        for (Priority priority : Priority.values()) {
            mRequests.put(priority, new ArrayDeque<>());
        }
    }

    int size() {
        return mRequests.values().stream().mapToInt(ArrayDeque::size).sum();
    }

    void add(GateRequest request) {
        mRequests.get(request.priority()).addLast(request);
    }

    /** Returns how many requests leave before one of {@code priority} that arrives now. */
    int ahead(Priority priority, boolean newestFirst) {
        int orders = mRequests.get(Priority.ORDER).size();
        if (priority == Priority.ORDER || newestFirst) {
            return orders;
        }
        return orders + mRequests.get(Priority.READ).size();
    }

    /** Removes and returns the next request, or null when there is none. */
    GateRequest poll(boolean newestFirst) {
        GateRequest order = mRequests.get(Priority.ORDER).pollFirst();
        if (order != null) {
            return order;
        }
        ArrayDeque<GateRequest> reads = mRequests.get(Priority.READ);
        return newestFirst ? reads.pollLast() : reads.pollFirst();
    }

    /** Removes and returns the read that has waited longest, or null when there is none. */
    GateRequest pollOldestRead() {
        return mRequests.get(Priority.READ).pollFirst();
    }

    /** Removes the request with {@code id}; returns whether it was there. */
    boolean remove(long id) {
        for (ArrayDeque<GateRequest> requests : mRequests.values()) {
            if (requests.removeIf(request -> request.id() == id)) {
                return true;
            }
        }
        return false;
    }

    /** Removes requests that could not end by their deadline if they started now. */
    void removeLate(long nowNanos, long serviceNanos, Consumer<GateRequest> late) {
        for (ArrayDeque<GateRequest> requests : mRequests.values()) {
            Iterator<GateRequest> it = requests.iterator();
            while (it.hasNext()) {
                GateRequest request = it.next();
                if (request.deadlineNanos() - nowNanos <= serviceNanos) {
                    it.remove();
                    late.accept(request);
                }
            }
        }
    }
}
