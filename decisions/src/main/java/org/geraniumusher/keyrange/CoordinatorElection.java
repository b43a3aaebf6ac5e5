package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * Decides when this daemon may act as the coordinator and when it may take over.
 *
 * <p>Invariant: at most one daemon has authority at a time. A coordinator acts only within {@link
 * #AUTHORITY_NANOS} of the moment at which it sent its last write that the store accepted. Another
 * daemon takes over only by a conditional write, and only when the record is vacant, names an
 * earlier incarnation of itself, or did not change for {@link #TAKEOVER_NANOS} of its own clock. A
 * stale read only makes this later, because a change is seen after it was written.
 *
 * <p>Not thread-safe.
 */
public final class CoordinatorElection {
    /** How long a coordinator acts after a write. */
    public static final long AUTHORITY_NANOS = 4_500_000_000L;

    /** How often the coordinator renews its record. */
    public static final long RENEWAL_NANOS = 1_500_000_000L;

    /** Age of the last write from which the store counts as away. */
    private static final long STORE_AWAY_NANOS = 2_300_000_000L;

    /** Authority plus a clock rate difference of 2% and time for a write in flight. */
    public static final long TAKEOVER_NANOS = 4_800_000_000L;

    private final String mDaemon;
    private final long mIncarnation;
    private CoordinatorRecord mRecord;
    private long mUnchangedSince;
    private boolean mKnown;
    private long mAuthorityUntil;
    private boolean mHasAuthority;
    private long mFormerConfirmedBy;

    private CoordinatorElection(String daemon, long incarnation) {
        mDaemon = daemon;
        mIncarnation = incarnation;
    }

    /** Returns an election in which nothing is known yet. */
    public static CoordinatorElection create(String daemon, long incarnation) {
        return new CoordinatorElection(checkNotNull(daemon), incarnation);
    }

    /** Takes the record that a read found, or empty when there is none. */
    public void onRead(Optional<CoordinatorRecord> record, long nowNanos) {
        long revision = record.map(CoordinatorRecord::revision).orElse(0L);
        long known = mRecord == null ? 0 : mRecord.revision();
        if (mKnown && revision <= known) {
            return;
        }
        mKnown = true;
        mRecord = record.orElse(null);
        mUnchangedSince = nowNanos;
        if (!isOwn()) {
            mHasAuthority = false;
        }
    }

    /** Takes the record that this daemon wrote with a call sent at {@code sentNanos}. */
    public void onWritten(CoordinatorRecord record, long sentNanos, long nowNanos) {
        if (!hasAuthority(nowNanos)) {
            mFormerConfirmedBy = mRecord == null ? nowNanos : mUnchangedSince;
        }
        onRead(Optional.of(record), nowNanos);
        if (isOwn() && mRecord.revision() == record.revision()) {
            mHasAuthority = true;
            mAuthorityUntil = sentNanos + AUTHORITY_NANOS;
        }
    }

    /** Returns when this daemon sent its last write that the store accepted. */
    public long confirmedAt() {
        return mAuthorityUntil - AUTHORITY_NANOS;
    }

    /**
     * Returns a time, not after the start of this term, by which the coordinator of the term before
     * had sent its last write that the store accepted.
     */
    public long formerConfirmedBy() {
        return mFormerConfirmedBy;
    }

    /** Reports whether this daemon may grant and move ranges. */
    public boolean hasAuthority(long nowNanos) {
        return mHasAuthority && nowNanos < mAuthorityUntil;
    }

    /** Reports whether this daemon has authority, but its last write is older than it should be. */
    public boolean isStoreAway(long nowNanos) {
        return hasAuthority(nowNanos)
                && nowNanos - (mAuthorityUntil - AUTHORITY_NANOS) > STORE_AWAY_NANOS;
    }

    /** Reports whether this daemon should write itself into the record now. */
    public boolean shouldWrite(long nowNanos) {
        if (!mKnown) {
            return false;
        }
        if (mHasAuthority && isOwn()) {
            return nowNanos >= mAuthorityUntil - AUTHORITY_NANOS + RENEWAL_NANOS;
        }
        return mRecord == null
                || mRecord.isVacant()
                || mRecord.daemon().equals(mDaemon)
                || nowNanos - mUnchangedSince >= TAKEOVER_NANOS;
    }

    /** Returns the record as last seen. */
    public Optional<CoordinatorRecord> record() {
        return Optional.ofNullable(mRecord);
    }

    /** Reports whether the record, as last seen, names this incarnation of this daemon. */
    public boolean isOwn() {
        return mRecord != null
                && mRecord.daemon().equals(mDaemon)
                && mRecord.incarnation() == mIncarnation;
    }
}
