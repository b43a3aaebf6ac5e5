package org.geraniumusher.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Relates the crashes of servers to the requests that were in progress, for the whole fleet, and
 * decides which requests are quarantined.
 *
 * <p>A request under which {@value #WATCHED_CRASHES} incarnations crashed is put on probation, so
 * that all daemons report its success; at {@value #REJECTED_CRASHES} it is rejected. A rejection
 * ends in a probation, and one more crash in it starts a rejection of twice the duration. A success
 * at any time clears the request, because one that runs to its end is not the cause. A request
 * whose crashes are all also crashes of a request with more of them was only a bystander. Crashes
 * at once of many servers count as {@link SimultaneousCrashes} says; as they are reported one by
 * one, a rejection that began with the first of them is taken back.
 *
 * <p>Invariants: the ledger is soft state, which reports of the daemons rebuild; decisions are the
 * difference between it and the stored quarantines, so a lost write is decided again. Times are in
 * milliseconds since 1970, because stored quarantines outlast this process. Memory is bounded. Not
 * thread-safe.
 */
public final class CrashLedger {
    /** Crashes under a request from which daemons watch for its success. */
    public static final int WATCHED_CRASHES = 2;

    /** Crashes under a request from which it is rejected. */
    public static final int REJECTED_CRASHES = 3;

    static final long FIRST_REJECTION_MILLIS = 60_000;

    /**
     * Duration of a probation, as a multiple of that of the rejection before it. A request that
     * comes back seldom must meet its probation.
     */
    static final long PROBATION_FACTOR = 10;

    /** Duration of a probation that no rejection came before. */
    private static final long FIRST_PROBATION_MILLIS =
            FIRST_REJECTION_MILLIS / 2 * PROBATION_FACTOR;

    static final long MAX_REJECTION_MILLIS = 3_600_000;

    /** Time after the last crash under a request for which its crashes are remembered. */
    static final long CRASH_MEMORY_MILLIS = 600_000;

    /** Time between the reports of several daemons of the same crash. */
    static final long REPORT_SPREAD_MILLIS = 500;

    static final int MAX_REQUESTS = 4_096;

    /** Limit of stored quarantines; beyond it no request is put on its first probation. */
    private static final int MAX_STORED = 1_024;

    private static final int MAX_INCARNATIONS = 64;

    private final Map<RequestFingerprint, Evidence> mEvidence = new LinkedHashMap<>();
    private final SimultaneousCrashes mCrashTimes = SimultaneousCrashes.create();
    private long mDroppedRequests;

    /** What is known of one request. */
    private static final class Evidence {
        private CrashSuspect mSuspect;
        private final Set<String> mCrashes = new LinkedHashSet<>();

        /** When the last new crash was reported, in milliseconds. */
        private long mLastReportAt;

        private boolean mCompleted;
        private boolean mSeenStored;

        Evidence(CrashSuspect suspect) {
            mSuspect = suspect;
        }
    }

    /** Why a stored quarantine is to be changed. */
    public enum Reason {
        /** Servers crashed under the request. */
        CRASHES,
        /** Most servers that crashed at once did not run the request. */
        CRASHES_AT_ONCE,
        /** The rejection has lasted for its duration. */
        REJECTION_OVER,
        /** The probation has lasted for its duration without a crash. */
        PROBATION_OVER,
        /** The request was executed to its end. */
        COMPLETED
    }

    /**
     * A change that is to be made to the stored quarantines.
     *
     * @param next the quarantine to store, or empty to remove the stored one
     */
    public record Change(
            RequestFingerprint fingerprint, Optional<Quarantine> next, Reason reason) {}

    private CrashLedger() {}

    /** Returns a ledger without evidence. */
    public static CrashLedger create() {
        return new CrashLedger();
    }

    /** Returns how many requests were forgotten because the ledger was full. */
    public long droppedRequests() {
        return mDroppedRequests;
    }

    /**
     * Records a crash; reports of the same crash by several daemons add up.
     *
     * @param ageMillis time since the reporting daemon detected the crash
     */
    public void onCrash(
            String incarnationId,
            Collection<CrashSuspect> suspects,
            long ageMillis,
            long nowMillis) {
        checkNotNull(incarnationId);
        mCrashTimes.add(incarnationId, nowMillis - Math.max(0, ageMillis));
        for (CrashSuspect suspect : suspects) {
            Evidence evidence =
                    mEvidence.computeIfAbsent(suspect.fingerprint(), f -> new Evidence(suspect));
            evidence.mSuspect = suspect;
            if (evidence.mCrashes.size() < MAX_INCARNATIONS
                    && evidence.mCrashes.add(incarnationId)) {
                evidence.mLastReportAt = nowMillis;
            }
        }
        dropOldest();
    }

    private void dropOldest() {
        while (mEvidence.size() > MAX_REQUESTS) {
            mEvidence.remove(mEvidence.keySet().iterator().next());
            mDroppedRequests++;
        }
    }

    /** Records that a request was executed to its end, which clears it. */
    public void onCompleted(RequestFingerprint fingerprint) {
        Evidence evidence =
                mEvidence.computeIfAbsent(
                        fingerprint, f -> new Evidence(new CrashSuspect(f, "", "")));
        evidence.mCrashes.clear();
        evidence.mCompleted = true;
        dropOldest();
    }

    /**
     * Forgets which quarantines were seen in the store, because a restore may have lost them. They
     * are then decided again.
     */
    public void onStoreRestored() {
        mEvidence.values().forEach(e -> e.mSeenStored = false);
    }

    /**
     * Returns the changes that are to be made to the stored quarantines.
     *
     * @param stored the stored quarantines, as far as this daemon has seen their changes
     */
    public ImmutableList<Change> decide(
            ImmutableMap<RequestFingerprint, Quarantine> stored, long nowMillis) {
        forgetRemovedAndOld(stored, nowMillis);
        ImmutableList<Set<String>> known = knownCrashes(stored);
        ImmutableList.Builder<Change> changes = ImmutableList.builder();
        for (Quarantine quarantine : stored.values()) {
            decideStored(quarantine, stored, known, nowMillis).ifPresent(changes::add);
        }
        int minCrashes = stored.size() < MAX_STORED ? WATCHED_CRASHES : REJECTED_CRASHES;
        for (Evidence evidence : mEvidence.values()) {
            int crashes =
                    evidence.mCrashes.size() < minCrashes
                            ? 0
                            : mCrashTimes.countEvidence(evidence.mCrashes);
            // More crashes that come at once would be stored, and seen, only after the probation.
            boolean candidate =
                    crashes >= minCrashes
                            && (crashes >= REJECTED_CRASHES || !isRecent(evidence, nowMillis))
                            && !stored.containsKey(evidence.mSuspect.fingerprint());
            if (candidate && !isBystander(evidence, stored, known, nowMillis)) {
                changes.add(begin(evidence, crashes >= REJECTED_CRASHES, nowMillis));
            }
        }
        return changes.build();
    }

    /**
     * Forgets requests whose stored quarantine is gone, as after a removal by an operator, and
     * those whose last crash is long ago.
     */
    private void forgetRemovedAndOld(
            ImmutableMap<RequestFingerprint, Quarantine> stored, long nowMillis) {
        mCrashTimes.forgetBefore(nowMillis - CRASH_MEMORY_MILLIS);
        List<RequestFingerprint> forgotten = new ArrayList<>();
        mEvidence.forEach(
                (fingerprint, evidence) -> {
                    if (stored.containsKey(fingerprint)) {
                        evidence.mSeenStored = true;
                        return;
                    }
                    // Crashes after a success that removed the quarantine are kept.
                    boolean removed = evidence.mSeenStored && !evidence.mCompleted;
                    boolean old = nowMillis - evidence.mLastReportAt > CRASH_MEMORY_MILLIS;
                    evidence.mSeenStored = false;
                    evidence.mCompleted = false;
                    if (removed || old || evidence.mCrashes.isEmpty()) {
                        forgotten.add(fingerprint);
                    }
                });
        forgotten.forEach(mEvidence::remove);
    }

    private Optional<Change> decideStored(
            Quarantine quarantine,
            ImmutableMap<RequestFingerprint, Quarantine> stored,
            ImmutableList<Set<String>> known,
            long nowMillis) {
        RequestFingerprint fingerprint = quarantine.fingerprint();
        Optional<Evidence> evidence = Optional.ofNullable(mEvidence.get(fingerprint));
        if (evidence.isPresent() && evidence.get().mCompleted) {
            return Optional.of(new Change(fingerprint, Optional.empty(), Reason.COMPLETED));
        }
        boolean over = nowMillis - quarantine.sinceMillis() >= quarantine.durationMillis();
        if (quarantine.state() == Quarantine.State.REJECTED) {
            if (evidence.isPresent() && isRejectedForCrashesAtOnce(quarantine, evidence.get())) {
                return change(
                        quarantine,
                        evidence,
                        Quarantine.State.PROBATION,
                        nowMillis,
                        FIRST_PROBATION_MILLIS,
                        Reason.CRASHES_AT_ONCE);
            }
            return over
                    ? change(
                            quarantine,
                            evidence,
                            Quarantine.State.PROBATION,
                            nowMillis,
                            PROBATION_FACTOR * quarantine.durationMillis(),
                            Reason.REJECTION_OVER)
                    : Optional.empty();
        }
        if (evidence.isPresent()
                && hasNewCrash(quarantine, evidence.get())
                && !isBystander(evidence.get(), stored, known, nowMillis)) {
            return change(
                    quarantine,
                    evidence,
                    Quarantine.State.REJECTED,
                    nowMillis,
                    Math.min(
                            MAX_REJECTION_MILLIS,
                            2 * quarantine.durationMillis() / PROBATION_FACTOR),
                    Reason.CRASHES);
        }
        return over
                ? Optional.of(new Change(fingerprint, Optional.empty(), Reason.PROBATION_OVER))
                : Optional.empty();
    }

    /**
     * Reports whether an incarnation crashed that the stored quarantine does not name, and that
     * counts beside those that it names.
     */
    private boolean hasNewCrash(Quarantine quarantine, Evidence evidence) {
        Set<String> all = new HashSet<>(quarantine.incarnations());
        if (!all.addAll(evidence.mCrashes)) {
            return false;
        }
        return mCrashTimes.countEvidence(all)
                > mCrashTimes.countEvidence(quarantine.incarnations());
    }

    /**
     * Reports whether this ledger knows all crashes for which the request is rejected and they are
     * not enough, because other servers crashed at the same time.
     */
    private boolean isRejectedForCrashesAtOnce(Quarantine quarantine, Evidence evidence) {
        return evidence.mCrashes.containsAll(quarantine.incarnations())
                && mCrashTimes.countEvidence(evidence.mCrashes) < REJECTED_CRASHES;
    }

    private static Optional<Change> change(
            Quarantine quarantine,
            Optional<Evidence> evidence,
            Quarantine.State state,
            long nowMillis,
            long durationMillis,
            Reason reason) {
        Set<String> incarnations = new HashSet<>(quarantine.incarnations());
        ImmutableList.Builder<String> all = ImmutableList.builder();
        all.addAll(quarantine.incarnations());
        evidence.ifPresent(
                e ->
                        e.mCrashes.stream()
                                .filter(incarnations::add)
                                .limit(
                                        Math.max(
                                                0,
                                                MAX_INCARNATIONS
                                                        - quarantine.incarnations().size()))
                                .forEach(all::add));
        return Optional.of(
                new Change(
                        quarantine.fingerprint(),
                        Optional.of(
                                new Quarantine(
                                        quarantine.fingerprint(),
                                        state,
                                        quarantine.service(),
                                        quarantine.target(),
                                        all.build(),
                                        nowMillis,
                                        durationMillis)),
                        reason));
    }

    private static Change begin(Evidence evidence, boolean rejected, long nowMillis) {
        CrashSuspect suspect = evidence.mSuspect;
        return new Change(
                suspect.fingerprint(),
                Optional.of(
                        new Quarantine(
                                suspect.fingerprint(),
                                rejected ? Quarantine.State.REJECTED : Quarantine.State.PROBATION,
                                suspect.service(),
                                suspect.target(),
                                ImmutableList.copyOf(evidence.mCrashes),
                                nowMillis,
                                rejected ? FIRST_REJECTION_MILLIS : FIRST_PROBATION_MILLIS)),
                Reason.CRASHES);
    }

    /**
     * Reports whether another request has all crashes of this one, and more. One crash may be
     * missing while the daemon at which the other request was in progress may still report it.
     */
    private boolean isBystander(
            Evidence evidence,
            ImmutableMap<RequestFingerprint, Quarantine> stored,
            ImmutableList<Set<String>> known,
            long nowMillis) {
        int maxMissing = isRecent(evidence, nowMillis) ? 1 : 0;
        Set<String> crashes = allCrashes(evidence.mSuspect.fingerprint(), stored);
        return known.stream()
                .takeWhile(other -> other.size() > crashes.size())
                .anyMatch(other -> Sets.difference(crashes, other).size() <= maxMissing);
    }

    /** Returns the crashes under each request that the ledger or the store knows, most first. */
    private ImmutableList<Set<String>> knownCrashes(
            ImmutableMap<RequestFingerprint, Quarantine> stored) {
        return Sets.union(mEvidence.keySet(), stored.keySet()).stream()
                .map(fingerprint -> allCrashes(fingerprint, stored))
                .sorted(Comparator.comparing((Set<String> crashes) -> crashes.size()).reversed())
                .collect(ImmutableList.toImmutableList());
    }

    /** Reports whether further daemons may still report the last crash under the request. */
    private static boolean isRecent(Evidence evidence, long nowMillis) {
        return nowMillis - evidence.mLastReportAt < REPORT_SPREAD_MILLIS;
    }

    /** Returns the crashes under a request that the ledger or the store knows. */
    private Set<String> allCrashes(
            RequestFingerprint fingerprint, ImmutableMap<RequestFingerprint, Quarantine> stored) {
        Evidence evidence = mEvidence.get(fingerprint);
        Quarantine quarantine = stored.get(fingerprint);
        if (quarantine == null) {
            return evidence == null ? ImmutableSet.of() : evidence.mCrashes;
        }
        Set<String> all = new HashSet<>(quarantine.incarnations());
        if (evidence != null) {
            all.addAll(evidence.mCrashes);
        }
        return all;
    }
}
