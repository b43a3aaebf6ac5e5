package org.geraniumusher.ownership;

import static com.google.common.base.Preconditions.checkState;

import org.geraniumusher.model.ShardState;

import java.util.Optional;

/**
 * Keeps at most one call of the store under way, and no write before a read has answered since the
 * last conflict or unknown outcome. Not thread-safe.
 */
final class StoreAccess {
    private final String mService;
    private boolean mReading;
    private Optional<ShardState> mWriting = Optional.empty();
    private boolean mReadRequired = true;
    private long mNextReadNanos = Long.MIN_VALUE;

    StoreAccess(String service) {
        mService = service;
    }

    /** Reports whether a decision may be written now. */
    boolean isSettled() {
        return !mReading && !mReadRequired && mWriting.isEmpty();
    }

    /** Forbids writes until the store has been read. */
    void requireRead(long nowNanos) {
        if (!mReadRequired) {
            mReadRequired = true;
            mNextReadNanos = nowNanos;
        }
    }

    Optional<OwnershipCommand> readWhenDue(long nowNanos) {
        boolean due = mNextReadNanos == Long.MIN_VALUE || nowNanos - mNextReadNanos >= 0;
        if (!mReadRequired || !due || mReading || mWriting.isPresent()) {
            return Optional.empty();
        }
        mReading = true;
        return Optional.of(new OwnershipCommand.ReadState(mService));
    }

    /** Ends a read; one that did not answer what was asked is repeated later. */
    void onRead(long nowNanos, boolean answered) {
        mReading = false;
        mReadRequired = !answered;
        mNextReadNanos = nowNanos + OwnershipTimes.STORE_RETRY_NANOS;
    }

    OwnershipCommand write(long expectedVersion, ShardState state) {
        checkState(isSettled(), "store call of %s under way", mService);
        mWriting = Optional.of(state);
        return new OwnershipCommand.WriteState(mService, expectedVersion, state);
    }

    /** Ends a write that took effect and returns what was written. */
    Optional<ShardState> onWritten() {
        Optional<ShardState> written = mWriting;
        mWriting = Optional.empty();
        return written;
    }

    /** Ends a write that had no effect, or of which that is not known. */
    void onNotWritten(long nowNanos) {
        mWriting = Optional.empty();
        mReadRequired = true;
        mNextReadNanos = nowNanos;
    }
}
