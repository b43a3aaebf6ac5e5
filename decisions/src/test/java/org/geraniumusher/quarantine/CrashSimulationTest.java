package org.geraniumusher.quarantine;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Plays a request that crashes its servers among innocent ones at several daemons, with random
 * delays of reports and of the store. Guards against a request that crashes its servers that
 * reaches more servers than the rule allows, and against innocent requests that are rejected though
 * they succeeded.
 */
final class CrashSimulationTest {
    private static final int SEEDS = 100;
    private static final long END_MILLIS = 40_000;
    private static final long STEP_MILLIS = 100;
    private static final long RESTART_MILLIS = 3_300;

    /** The rule: at most three sends later than this after the third crash. */
    private static final long STABLE_WINDOW_MILLIS = 3_000;

    private static final int MAX_LATE_SENDS = 3;
    private static final int CULPRIT = 0;

    private record Event(long at, Runnable action) {}

    private static final class Daemon {
        private ImmutableMap<RequestFingerprint, Quarantine> mSeen = ImmutableMap.of();
        private int mSeenRevision;

        /** Requests that this daemon has in its own evidence. */
        private final Set<RequestFingerprint> mOwnEvidence = new HashSet<>();
    }

    private static final class Server {
        private String mIncarnation;
        private long mUpAt;
        private final Map<Daemon, Set<Integer>> mInProgress = new LinkedHashMap<>();
    }

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final List<Server> mServers = new ArrayList<>();
    private final Map<RequestFingerprint, Quarantine> mStored = new LinkedHashMap<>();
    private final Map<RequestFingerprint, Set<String>> mCrashesSinceSuccess = new HashMap<>();
    private final Set<RequestFingerprint> mChanging = new HashSet<>();
    private CrashLedger mLedger = CrashLedger.create();
    private Random mRandom = new Random(0);
    private long mNow;
    private int mRevision;
    private int mIncarnations;
    private int mCulpritCrashes;
    private long mThirdCrashAt;
    private int mLateSends;
    private String mSeed = "";

    private static RequestFingerprint fingerprint(int number) {
        return new RequestFingerprint(String.format("%032x", number));
    }

    private long delay(int maxMillis) {
        return mNow + 10 + mRandom.nextInt(maxMillis);
    }

    @Test
    void play_crashingRequestAmongInnocents_keepsTheBounds() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            new CrashSimulationTest().play(seed);
        }
    }

    private void play(int seed) {
        mSeed = "seed " + seed;
        mRandom = new Random(seed);
        int innocents = 20 + mRandom.nextInt(200);
        for (int i = 0; i < 3 + mRandom.nextInt(8); i++) {
            mDaemons.add(new Daemon());
        }
        for (int i = 0; i < 6 + mRandom.nextInt(18); i++) {
            Server server = new Server();
            server.mIncarnation = "i" + mIncarnations++;
            mServers.add(server);
        }
        for (; mNow < END_MILLIS; mNow += STEP_MILLIS) {
            while (!mEvents.isEmpty() && mEvents.peek().at() <= mNow) {
                mEvents.remove().action().run();
            }
            for (int i = 0; i < 10; i++) {
                send(1 + mRandom.nextInt(innocents));
            }
            send(CULPRIT);
            if (mRandom.nextInt(200) == 0) {
                // The coordinator is lost: a new one starts from the store and what is reported.
                mLedger = CrashLedger.create();
            }
            decide();
        }
        assertWithMessage("%s: late sends", mSeed).that(mLateSends).isAtMost(MAX_LATE_SENDS);
        assertWithMessage("%s: state of the crashing request", mSeed)
                .that(mStored.get(fingerprint(CULPRIT)).state())
                .isEqualTo(Quarantine.State.REJECTED);
    }

    private void send(int request) {
        Daemon daemon = mDaemons.get(mRandom.nextInt(mDaemons.size()));
        Quarantine known = daemon.mSeen.get(fingerprint(request));
        List<Server> up = mServers.stream().filter(s -> s.mUpAt <= mNow).toList();
        if (up.isEmpty() || known != null && known.state() == Quarantine.State.REJECTED) {
            return;
        }
        Server server = up.get(mRandom.nextInt(up.size()));
        if (request == CULPRIT) {
            if (mCulpritCrashes >= 3 && mNow - mThirdCrashAt > STABLE_WINDOW_MILLIS) {
                mLateSends++;
            }
            server.mInProgress.computeIfAbsent(daemon, d -> new HashSet<>()).add(CULPRIT);
            crash(server);
            return;
        }
        server.mInProgress.computeIfAbsent(daemon, d -> new HashSet<>()).add(request);
        String incarnation = server.mIncarnation;
        mEvents.add(
                new Event(
                        delay(500),
                        () -> {
                            if (server.mIncarnation.equals(incarnation)) {
                                server.mInProgress.get(daemon).remove(request);
                                onSuccess(daemon, fingerprint(request));
                            }
                        }));
    }

    private void onSuccess(Daemon daemon, RequestFingerprint fingerprint) {
        if (!daemon.mSeen.containsKey(fingerprint) && !daemon.mOwnEvidence.remove(fingerprint)) {
            return;
        }
        mEvents.add(
                new Event(
                        delay(100),
                        () -> {
                            mLedger.onCompleted(fingerprint);
                            mCrashesSinceSuccess.remove(fingerprint);
                        }));
    }

    private void crash(Server server) {
        String incarnation = server.mIncarnation;
        if (++mCulpritCrashes == 3) {
            mThirdCrashAt = mNow;
        }
        server.mInProgress.forEach(
                (daemon, requests) -> {
                    ImmutableList<CrashSuspect> suspects =
                            requests.stream()
                                    .map(r -> new CrashSuspect(fingerprint(r), "service", "t"))
                                    .collect(ImmutableList.toImmutableList());
                    mEvents.add(
                            new Event(
                                    mNow + 300 + mRandom.nextInt(300),
                                    () -> report(daemon, incarnation, suspects)));
                });
        server.mInProgress.clear();
        server.mIncarnation = "i" + mIncarnations++;
        server.mUpAt = mNow + RESTART_MILLIS;
    }

    private void report(Daemon daemon, String incarnation, List<CrashSuspect> suspects) {
        for (CrashSuspect suspect : suspects) {
            daemon.mOwnEvidence.add(suspect.fingerprint());
            mCrashesSinceSuccess
                    .computeIfAbsent(suspect.fingerprint(), f -> new HashSet<>())
                    .add(incarnation);
        }
        mLedger.onCrash(incarnation, suspects, 0, mNow);
    }

    private void decide() {
        for (CrashLedger.Change change : mLedger.decide(ImmutableMap.copyOf(mStored), mNow)) {
            RequestFingerprint fingerprint = change.fingerprint();
            boolean rejected =
                    change.next().filter(q -> q.state() == Quarantine.State.REJECTED).isPresent();
            if (rejected) {
                assertWithMessage("%s: crashes under a rejected request", mSeed)
                        .that(mCrashesSinceSuccess.get(fingerprint).size())
                        .isAtLeast(CrashLedger.REJECTED_CRASHES);
            }
            // One write in ten is lost.
            if (mChanging.add(fingerprint) && mRandom.nextInt(10) > 0) {
                mEvents.add(new Event(delay(100), () -> store(change)));
            } else {
                mEvents.add(new Event(delay(500), () -> mChanging.remove(fingerprint)));
            }
        }
    }

    private void store(CrashLedger.Change change) {
        mChanging.remove(change.fingerprint());
        if (change.next().isPresent()) {
            mStored.put(change.fingerprint(), change.next().get());
        } else {
            mStored.remove(change.fingerprint());
        }
        ImmutableMap<RequestFingerprint, Quarantine> snapshot = ImmutableMap.copyOf(mStored);
        int revision = ++mRevision;
        mDaemons.forEach(d -> mEvents.add(new Event(delay(300), () -> see(d, snapshot, revision))));
    }

    private static void see(
            Daemon daemon, ImmutableMap<RequestFingerprint, Quarantine> stored, int revision) {
        if (revision > daemon.mSeenRevision) {
            daemon.mSeenRevision = revision;
            daemon.mSeen = stored;
        }
    }
}
