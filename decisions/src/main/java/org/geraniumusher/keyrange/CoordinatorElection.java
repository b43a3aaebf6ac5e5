package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * Decides when this daemon may act as the coordinator and when it may take over from another.
 *
 * <p>Invariant: at most one daemon has authority at a time. A coordinator has authority only for
 * {@link #AUTHORITY_NANOS} after it sent its last write that the store accepted in the same epoch.
 * Another daemon takes over only with a conditional write, and only when the record is vacant,
 * names an earlier incarnation of itself, or has not changed for {@link #TAKEOVER_NANOS} on its own
 * clock. A stale read can only delay a takeover, because a change is always seen after it was
 * written.
 *
 * <p>A restore of the store, which starts a new epoch, can bring back any earlier record. The
 * record that was known is then forgotten. The daemon that had authority when it first saw the new
 * epoch was the last one to have it, as a takeover takes longer, so it may continue as long as
 * nobody has written the record in the new epoch. For all others a record that was not written in
 * the new epoch shows nothing about who has authority, and they wait {@link #TAKEOVER_NANOS} from
 * their first read of it, which is longer than an authority from before the restore lasts.
 *
 * <p>A suspension of the machine ends the authority until a write is accepted that was sent since,
 * which is due at once: another daemon may have taken over meanwhile.
 *
 * <p>A resignation ends the authority before the record is vacated. The daemon regains it only with
 * a write that it sends later.
 *
 * <p>All times are in nanoseconds of one monotonic clock of this daemon, which may stand still
 * while the machine is suspended. Waits only get longer by that. Not thread-safe.
 */
public final class CoordinatorElection {
    /** Time for which a coordinator has authority after it sent an accepted write. */
    public static final long AUTHORITY_NANOS = 4_500_000_000L;

    /** Interval at which the coordinator renews its record. */
    public static final long RENEWAL_NANOS = 1_500_000_000L;

    /** Age of the last accepted write from which on the store counts as unavailable. */
    private static final long STORE_UNAVAILABLE_NANOS = 2_300_000_000L;

    /**
     * Time without a change of the record after which another daemon may take over. It is {@link
     * #AUTHORITY_NANOS} plus a clock rate difference of 2% and the time of a write in flight.
     */
    public static final long TAKEOVER_NANOS = 4_800_000_000L;

    private final String mDaemon;
    private final long mIncarnation;
    private final long mStartedAt;
    private CoordinatorRecord mRecord;
    private long mRecordChangedAt;
    private boolean mRecordRead;
    private long mEpoch;
    private boolean mRestored;
    private boolean mMayContinue;
    private long mAuthorityUntil;
    private boolean mHasAuthority;
    private long mResumedAt = Long.MIN_VALUE;
    private long mStandsAgainAt = Long.MIN_VALUE;
    private FormerCoordinators mFormerCoordinators = new FormerCoordinators(0, 0);

    private CoordinatorElection(String daemon, long incarnation, long startedAtNanos) {
        mDaemon = daemon;
        mStartedAt = startedAtNanos;
        mIncarnation = incarnation;
    }

    /**
     * Returns an election that has not read the record yet.
     *
     * @param daemon name under which the earlier incarnations of this daemon, which have all
     *     terminated, were elected
     * @param startedAtNanos a time at which they had terminated
     */
    public static CoordinatorElection create(String daemon, long incarnation, long startedAtNanos) {
        return new CoordinatorElection(checkNotNull(daemon), incarnation, startedAtNanos);
    }

    /** Sets the epoch of the store that this daemon sees first. */
    public void setInitialEpoch(long epoch) {
        mEpoch = epoch;
    }

    /** Processes a restore of the store, which may have taken back any write of the record. */
    public void onNewEpoch(long epoch, long nowNanos) {
        mMayContinue = hasAuthority(nowNanos);
        if (!mMayContinue) {
            mHasAuthority = false;
        }
        mEpoch = epoch;
        mRestored = true;
        mRecord = null;
        mRecordRead = false;
    }

    /**
     * Bounds the grants of the coordinators before a term. Times are in nanoseconds and not after
     * its start.
     *
     * @param confirmedBy time by which the last of them had sent its last write that the store
     *     accepted
     * @param grantsSentBy time by which they had sent their last grants
     */
    public record FormerCoordinators(long confirmedBy, long grantsSentBy) {}

    /** Returns whether the record was read in the current epoch. */
    public boolean isRecordRead() {
        return mRecordRead;
    }

    /**
     * Returns whether this daemon may continue its term of the previous epoch by writing the
     * record, because it had authority at the restore and nobody is known to have written the
     * record since.
     */
    public boolean mayContinue() {
        return mMayContinue;
    }

    /** Processes a read of the record, which is empty if the store has none. */
    public void onRead(Optional<CoordinatorRecord> record, long nowNanos) {
        long revision = record.map(r -> r.version().revision()).orElse(0L);
        long knownRevision = mRecord == null ? 0 : mRecord.version().revision();
        if (!mRecordRead || revision > knownRevision) {
            setRecord(record.orElse(null), nowNanos);
        }
    }

    /**
     * Processes a rejected write, with the record that the store has. It is current, also if its
     * revision is lower than that of a stale read.
     */
    public void onConflict(CoordinatorRecord record, long nowNanos) {
        if (!mRecordRead || !record.equals(mRecord)) {
            setRecord(record, nowNanos);
        }
    }

    private void setRecord(CoordinatorRecord record, long nowNanos) {
        mRecordRead = true;
        mRecord = record;
        mRecordChangedAt = nowNanos;
        if (isFromCurrentEpoch()) {
            mMayContinue = false;
        }
        if (!isOwn() && !mMayContinue) {
            mHasAuthority = false;
        }
    }

    private boolean isFromCurrentEpoch() {
        return mRecord != null && mRecord.version().epoch() == mEpoch;
    }

    /** Processes the store's acceptance of a write that this daemon sent at {@code sentNanos}. */
    public void onWritten(CoordinatorRecord record, long sentNanos, long nowNanos) {
        if (!hasAuthority(nowNanos)) {
            // A coordinator is elected after the authority of the one before has ended.
            mFormerCoordinators =
                    new FormerCoordinators(
                            mRecord == null ? nowNanos : mRecordChangedAt,
                            namesEarlierIncarnation() ? mStartedAt : nowNanos);
        }
        onRead(Optional.of(record), nowNanos);
        if (isOwn() && mRecord.version().equals(record.version())) {
            mHasAuthority = true;
            mAuthorityUntil = sentNanos + AUTHORITY_NANOS;
        }
    }

    /**
     * Ends the authority of this daemon, which does not stand for election until {@code
     * standsAgainAtNanos}. No write of the record may be in flight, as its answer would give the
     * authority back.
     */
    public void resign(long standsAgainAtNanos) {
        mHasAuthority = false;
        mMayContinue = false;
        mStandsAgainAt = standsAgainAtNanos;
    }

    /** Reports whether this daemon has resigned and does not stand for election now. */
    public boolean isAbstaining(long nowNanos) {
        return nowNanos < mStandsAgainAt;
    }

    /**
     * Records when the last suspension of the machine was detected. Earlier times than in a former
     * call have no effect.
     */
    public void onResumed(long resumedAtNanos) {
        mResumedAt = Math.max(mResumedAt, resumedAtNanos);
    }

    private boolean isConfirmedSinceSuspension() {
        return confirmedAt() >= mResumedAt;
    }

    /** Returns when this daemon sent its last write that the store accepted, in nanoseconds. */
    public long confirmedAt() {
        return mAuthorityUntil - AUTHORITY_NANOS;
    }

    /** Returns what bounds the grants of the coordinators before this term. */
    public FormerCoordinators formerCoordinators() {
        return mFormerCoordinators;
    }

    /** Reports whether this daemon may grant and move ranges. */
    public boolean hasAuthority(long nowNanos) {
        return mHasAuthority && nowNanos < mAuthorityUntil && isConfirmedSinceSuspension();
    }

    /**
     * Reports whether this daemon has authority although its last accepted write is older than a
     * renewal should be.
     */
    public boolean isStoreUnavailable(long nowNanos) {
        return hasAuthority(nowNanos)
                && nowNanos - (mAuthorityUntil - AUTHORITY_NANOS) > STORE_UNAVAILABLE_NANOS;
    }

    /** Reports whether this daemon should write itself into the record now. */
    public boolean shouldWrite(long nowNanos) {
        if (!mRecordRead || isAbstaining(nowNanos)) {
            return false;
        }
        if (mHasAuthority && isOwn()) {
            return nowNanos >= confirmedAt() + RENEWAL_NANOS || !isConfirmedSinceSuspension();
        }
        if (mMayContinue || nowNanos - mRecordChangedAt >= TAKEOVER_NANOS) {
            return true;
        }
        return mRecord == null
                ? !mRestored
                : isFromCurrentEpoch() && (mRecord.isVacant() || mRecord.daemon().equals(mDaemon));
    }

    /** Reports whether the record names an incarnation of this daemon that has terminated. */
    private boolean namesEarlierIncarnation() {
        return isFromCurrentEpoch() && mRecord.daemon().equals(mDaemon) && !isOwn();
    }

    /** Returns the record as last seen, or empty if there is none. */
    public Optional<CoordinatorRecord> record() {
        return Optional.ofNullable(mRecord);
    }

    /**
     * Reports whether the record, as last seen, names this incarnation of this daemon and was
     * written in the current epoch.
     */
    public boolean isOwn() {
        return isFromCurrentEpoch()
                && mRecord.daemon().equals(mDaemon)
                && mRecord.incarnation() == mIncarnation;
    }
}
