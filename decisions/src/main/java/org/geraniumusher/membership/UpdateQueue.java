package org.geraniumusher.membership;

import com.google.common.collect.ImmutableList;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the updates to piggyback, each at most a bounded number of times, least sent first.
 *
 * <p>There is at most one update per name. Taking costs time in proportion to what is taken, not to
 * what is held. Not thread-safe.
 */
final class UpdateQueue {
    private final List<ArrayDeque<MemberUpdate>> mBySendCount = new ArrayList<>();
    private final Map<String, MemberUpdate> mCurrent = new HashMap<>();

    /** Is an update with the number of times that it was sent. */
    private record Sent(MemberUpdate update, int count) {}

    /** Adds an update in place of an older one about the same name. */
    void add(MemberUpdate update) {
        mCurrent.put(update.name(), update);
        queue(0).add(update);
    }

    /** Adds an update unless one about the same name is held. */
    void addIfAbsent(MemberUpdate update) {
        if (!mCurrent.containsKey(update.name())) {
            add(update);
        }
    }

    /** Removes the update about a name. */
    void remove(String name) {
        mCurrent.remove(name);
    }

    /**
     * Takes different updates of at most {@code maxBytes} together; each leaves after {@code limit}
     * sends.
     */
    List<MemberUpdate> take(int maxBytes, int limit) {
        List<Sent> taken = new ArrayList<>();
        int left = maxBytes;
        for (int count = 0; count < mBySendCount.size(); count++) {
            left = takeFrom(count, left, taken);
        }
        taken.forEach(sent -> putBack(sent, limit));
        return taken.stream().map(Sent::update).collect(ImmutableList.toImmutableList());
    }

    /** Returns all updates held, for tests of the bound. */
    ImmutableList<MemberUpdate> held() {
        return ImmutableList.copyOf(mCurrent.values());
    }

    /** Returns the bytes left, or 0 when the next update does not fit. */
    private int takeFrom(int count, int maxBytes, List<Sent> taken) {
        ArrayDeque<MemberUpdate> queue = queue(count);
        int left = maxBytes;
        while (!queue.isEmpty()) {
            MemberUpdate update = queue.peek();
            if (mCurrent.get(update.name()) == update) {
                left -= update.member().maxWireBytes();
                if (left < 0) {
                    return 0;
                }
                taken.add(new Sent(update, count + 1));
            }
            queue.poll();
        }
        return left;
    }

    private void putBack(Sent sent, int limit) {
        if (sent.count() < limit) {
            queue(sent.count()).add(sent.update());
        } else {
            mCurrent.remove(sent.update().name());
        }
    }

    private ArrayDeque<MemberUpdate> queue(int count) {
        while (mBySendCount.size() <= count) {
            mBySendCount.add(new ArrayDeque<>());
        }
        return mBySendCount.get(count);
    }
}
