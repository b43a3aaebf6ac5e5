package org.geraniumusher.ownership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps what one member knows of the other daemons: which are alive, which are certainly gone, and
 * when each was last heard. Not thread-safe.
 */
final class Peers {
    private static final int MAX_STANDBYS = 2;

    /** Bounds the memory for reports that no group will ever ask for; forgetting one is safe. */
    private static final int MAX_GONE = 4_096;

    private final String mService;
    private final LiveMember mSelf;
    private final Map<MemberId, LiveMember> mLive = new HashMap<>();
    private final Map<String, Long> mNewest = new HashMap<>();
    private final Map<MemberId, Boolean> mGone = new LinkedHashMap<>();
    private final Map<MemberId, Contact> mContacts = new HashMap<>();
    private final Map<MemberId, Long> mExcludedUntil = new HashMap<>();

    Peers(String service, LiveMember self) {
        mService = service;
        mSelf = self;
        note(self.id());
    }

    void setLive(Collection<LiveMember> live) {
        mLive.clear();
        Set<String> watched = new HashSet<>(Set.of(mSelf.id().name()));
        mContacts.keySet().forEach(id -> watched.add(id.name()));
        mNewest.keySet().retainAll(watched);
        for (LiveMember member : live) {
            mLive.put(member.id(), member);
            note(member.id());
        }
    }

    /** Learns that a run of a daemon exists, so that its earlier runs have ended. */
    void note(MemberId id) {
        mNewest.merge(id.name(), id.incarnation(), Math::max);
    }

    void addGone(MemberId id) {
        mGone.put(id, true);
        if (mGone.size() > MAX_GONE) {
            mGone.remove(mGone.keySet().iterator().next());
        }
    }

    /** Reports whether a run has certainly ended: it was reported, or a later run was seen. */
    boolean isGone(MemberId id) {
        return mGone.containsKey(id)
                || mNewest.getOrDefault(id.name(), Long.MIN_VALUE) > id.incarnation();
    }

    boolean isLive(MemberId id) {
        return mLive.containsKey(id) && !isGone(id);
    }

    int liveCount() {
        return mLive.size();
    }

    /** Starts to watch the members of a group and forgets all others. */
    void watch(long nowNanos, Collection<MemberId> group) {
        mContacts.keySet().retainAll(ImmutableSet.copyOf(group));
        for (MemberId id : group) {
            mContacts.computeIfAbsent(id, i -> new Contact(nowNanos));
        }
    }

    /** Gives every member the benefit of the doubt, after a pause of this daemon. */
    void restartWatch(long nowNanos) {
        mContacts.values().forEach(c -> c.restart(nowNanos));
    }

    void onRequest(long nowNanos, MemberId id) {
        Contact contact = mContacts.get(id);
        if (contact != null) {
            contact.mRequestNanos = nowNanos;
        }
    }

    void onAnswer(long nowNanos, MemberId id, long knownVersion) {
        Contact contact = mContacts.get(id);
        if (contact != null) {
            contact.mAnswerNanos = nowNanos;
            contact.mKnownVersion = Math.max(contact.mKnownVersion, knownVersion);
        }
    }

    /** Returns the time since the last request of a watched member. */
    long requestSilence(long nowNanos, MemberId id) {
        return nowNanos - mContacts.get(id).mRequestNanos;
    }

    /** Reports whether a watched member has answered lately and is not gone. */
    boolean isResponsive(long nowNanos, MemberId id) {
        Contact contact = mContacts.get(id);
        return contact != null
                && !isGone(id)
                && nowNanos - contact.mAnswerNanos < OwnershipTimes.SILENCE_NANOS;
    }

    /** Reports whether a member has shown that it holds the state of {@code version}. */
    boolean knows(MemberId id, long version) {
        Contact contact = mContacts.get(id);
        return contact != null && contact.mKnownVersion >= version;
    }

    /** Returns this daemon's place among the live daemons, in an order that differs by service. */
    int rank() {
        int rank = 0;
        for (LiveMember member : mLive.values()) {
            rank += isLive(member.id()) && weight(member) < weight(mSelf) ? 1 : 0;
        }
        return rank;
    }

    /**
     * Chooses standbys: the present ones that answer, then live daemons of data centres that the
     * group does not cover yet, then any others.
     */
    ImmutableList<MemberId> chooseStandbys(long nowNanos, List<MemberId> present) {
        List<MemberId> chosen = new ArrayList<>();
        Set<String> dataCentres = new HashSet<>(Set.of(mSelf.dataCentre()));
        for (MemberId id : present) {
            if (isResponsive(nowNanos, id) && chosen.size() < MAX_STANDBYS) {
                chosen.add(id);
                dataCentres.add(mLive.containsKey(id) ? mLive.get(id).dataCentre() : "");
            } else {
                mExcludedUntil.put(id, nowNanos + OwnershipTimes.EXCLUSION_NANOS);
            }
        }
        addOthers(nowNanos, chosen, dataCentres);
        return ImmutableList.copyOf(chosen);
    }

    private void addOthers(long nowNanos, List<MemberId> chosen, Set<String> dataCentres) {
        mExcludedUntil.values().removeIf(until -> nowNanos - until >= 0);
        List<LiveMember> candidates = new ArrayList<>();
        for (LiveMember member : mLive.values()) {
            MemberId id = member.id();
            if (isLive(id) && !id.name().equals(mSelf.id().name()) && !chosen.contains(id)) {
                candidates.add(member);
            }
        }
        candidates.removeIf(m -> mExcludedUntil.containsKey(m.id()));
        candidates.sort(Comparator.comparingLong(this::weight));
        while (chosen.size() < MAX_STANDBYS && !candidates.isEmpty()) {
            LiveMember next =
                    candidates.stream()
                            .filter(m -> !dataCentres.contains(m.dataCentre()))
                            .findFirst()
                            .orElse(candidates.get(0));
            candidates.remove(next);
            chosen.add(next.id());
            dataCentres.add(next.dataCentre());
        }
    }

    private long weight(LiveMember member) {
        String text = mService + "/" + member.id().name();
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }

    /** Records when a member was last heard. */
    private static final class Contact {
        private long mRequestNanos;
        private long mAnswerNanos;
        private long mKnownVersion;

        Contact(long nowNanos) {
            restart(nowNanos);
        }

        private void restart(long nowNanos) {
            mRequestNanos = nowNanos;
            mAnswerNanos = nowNanos;
        }
    }
}
