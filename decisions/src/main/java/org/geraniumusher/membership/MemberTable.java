package org.geraniumusher.membership;

import com.google.common.collect.ImmutableList;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Holds the newest update of each other daemon and the shuffled order in which they are probed.
 *
 * <p>Dead and departed members are remembered for {@link #FORGET_NANOS}, so that late messages do
 * not revive them. Each operation but {@link #live} costs the same for any number of members,
 * averaged over a round of probes. Not thread-safe.
 */
final class MemberTable {
    /** Time that a dead or departed member is remembered: longer than any partition expected. */
    static final long FORGET_NANOS = 3_600_000_000_000L;

    private final Map<String, MemberUpdate> mUpdates = new HashMap<>();
    private final Set<String> mOrdered = new LinkedHashSet<>();
    private final List<String> mOrder = new ArrayList<>();
    private final Map<String, Suspicion> mSuspicions = new LinkedHashMap<>();
    private final Map<String, Long> mEnded = new LinkedHashMap<>();
    private final Random mRandom;
    private int mCursor;
    private int mLive;

    MemberTable(Random random) {
        mRandom = random;
    }

    /**
     * Is a running suspicion.
     *
     * @param own whether this daemon raised it
     */
    record Suspicion(long deadlineNanos, boolean own) {}

    Optional<MemberUpdate> find(String name) {
        return Optional.ofNullable(mUpdates.get(name));
    }

    /** Returns the number of members that are alive or suspected. */
    int liveCount() {
        return mLive;
    }

    /** Returns all members that are alive or suspected. */
    ImmutableList<MemberUpdate> live() {
        return mUpdates.values().stream()
                .filter(update -> update.state().isLive())
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns all members, those that have ended too. */
    ImmutableList<MemberUpdate> all() {
        return ImmutableList.copyOf(mUpdates.values());
    }

    /** Replaces what is held about a member. */
    void put(long nowNanos, MemberUpdate update) {
        String name = update.name();
        MemberUpdate before = mUpdates.put(name, update);
        mLive += (update.state().isLive() ? 1 : 0);
        mLive -= (before != null && before.state().isLive() ? 1 : 0);
        mSuspicions.remove(name);
        mEnded.remove(name);
        if (!update.state().isLive()) {
            mEnded.put(name, nowNanos);
        } else if (mOrdered.add(name)) {
            insertIntoRound(name);
        }
    }

    /** Starts the suspicion of a member whose state is SUSPECT. */
    void suspect(String name, long deadlineNanos, boolean own) {
        mSuspicions.put(name, new Suspicion(deadlineNanos, own));
    }

    /** Returns the members whose suspicion has lasted until {@code nowNanos}. */
    List<MemberUpdate> expired(long nowNanos) {
        if (mSuspicions.isEmpty()) {
            return List.of();
        }
        List<MemberUpdate> expired = new ArrayList<>();
        mSuspicions.forEach(
                (name, suspicion) -> {
                    if (nowNanos - suspicion.deadlineNanos() >= 0) {
                        expired.add(mUpdates.get(name));
                    }
                });
        return expired;
    }

    /** Ends the suspicions raised here, restarts the others, and returns the former. */
    List<MemberUpdate> dropOwnSuspicions(long newDeadlineNanos) {
        List<MemberUpdate> own = new ArrayList<>();
        for (Map.Entry<String, Suspicion> entry : mSuspicions.entrySet()) {
            if (entry.getValue().own()) {
                own.add(mUpdates.get(entry.getKey()));
            } else {
                entry.setValue(new Suspicion(newDeadlineNanos, false));
            }
        }
        own.forEach(update -> mSuspicions.remove(update.name()));
        return own;
    }

    /** Returns the next live member of the round; starts a shuffled round after the last. */
    Optional<MemberUpdate> next() {
        for (int round = 0; round < 2; round++) {
            while (mCursor < mOrder.size()) {
                MemberUpdate update = mUpdates.get(mOrder.get(mCursor++));
                if (update != null && update.state().isLive()) {
                    return Optional.of(update);
                }
            }
            startRound();
        }
        return Optional.empty();
    }

    /** Returns up to {@code count} different live members other than {@code exceptName}. */
    List<MemberUpdate> sample(int count, String exceptName) {
        Set<MemberUpdate> chosen = new LinkedHashSet<>();
        for (int tries = 0; tries < 4 * count && chosen.size() < count; tries++) {
            if (mOrder.isEmpty()) {
                break;
            }
            MemberUpdate update = mUpdates.get(mOrder.get(mRandom.nextInt(mOrder.size())));
            if (update != null && update.state().isLive() && !update.name().equals(exceptName)) {
                chosen.add(update);
            }
        }
        return new ArrayList<>(chosen);
    }

    /** Returns the next of the dead members, in turn; those that left are passed over. */
    Optional<MemberUpdate> nextDead() {
        for (int tries = 0; tries < 8 && !mEnded.isEmpty(); tries++) {
            String name = mEnded.keySet().iterator().next();
            Long since = mEnded.remove(name);
            mEnded.put(name, since);
            MemberUpdate update = mUpdates.get(name);
            if (update.state() == MemberState.DEAD) {
                return Optional.of(update);
            }
        }
        return Optional.empty();
    }

    /** Forgets members that ended long ago, at most a few a call. */
    void forget(long nowNanos) {
        Iterator<Map.Entry<String, Long>> ended = mEnded.entrySet().iterator();
        for (int tries = 0; tries < 8 && ended.hasNext(); tries++) {
            Map.Entry<String, Long> entry = ended.next();
            if (nowNanos - entry.getValue() >= FORGET_NANOS) {
                mUpdates.remove(entry.getKey());
                ended.remove();
            }
        }
    }

    private void insertIntoRound(String name) {
        mOrder.add(name);
        int last = mOrder.size() - 1;
        if (mCursor < last) {
            Collections.swap(mOrder, last, mCursor + mRandom.nextInt(last - mCursor + 1));
        }
    }

    private void startRound() {
        mOrder.removeIf(
                name -> {
                    MemberUpdate update = mUpdates.get(name);
                    boolean ended = update == null || !update.state().isLive();
                    return ended && mOrdered.remove(name);
                });
        Collections.shuffle(mOrder, mRandom);
        mCursor = 0;
    }
}
