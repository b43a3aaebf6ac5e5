package org.geraniumusher.experiments;

import org.geraniumusher.model.Route.Priority;

import java.util.ArrayList;
import java.util.List;

/** Holds one request of a caller and the copies sent for it. Not thread-safe. */
final class Call {
    private final long mArrivalNanos;
    private final long mDeadlineNanos;
    private final boolean mIdempotent;
    private final int mSlice;
    private final List<Copy> mCopies = new ArrayList<>(2);
    private boolean mMayHaveRun;
    private boolean mDone;

    Call(long arrivalNanos, long deadlineNanos, boolean idempotent, int slice) {
        mArrivalNanos = arrivalNanos;
        mDeadlineNanos = deadlineNanos;
        mIdempotent = idempotent;
        mSlice = slice;
    }

    long arrivalNanos() {
        return mArrivalNanos;
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    boolean idempotent() {
        return mIdempotent;
    }

    Priority priority() {
        return mIdempotent ? Priority.READ : Priority.ORDER;
    }

    int slice() {
        return mSlice;
    }

    List<Copy> copies() {
        return mCopies;
    }

    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    void noteMayHaveRun() {
        mMayHaveRun = true;
    }

    boolean isDone() {
        return mDone;
    }

    void setDone() {
        mDone = true;
    }

    boolean hasOpenCopy() {
        for (Copy copy : mCopies) {
            if (copy.isOpen()) {
                return true;
            }
        }
        return false;
    }

    /** Holds one sending of a call. Not thread-safe. */
    static final class Copy {
        private final long mId;
        private final Call mCall;
        private final int mServer;
        private final SimDaemon mOrigin;
        private final long mSentNanos;
        private boolean mOpen = true;

        Copy(long id, Call call, int server, SimDaemon origin, long sentNanos) {
            mId = id;
            mCall = call;
            mServer = server;
            mOrigin = origin;
            mSentNanos = sentNanos;
        }

        long id() {
            return mId;
        }

        Call call() {
            return mCall;
        }

        int server() {
            return mServer;
        }

        SimDaemon origin() {
            return mOrigin;
        }

        long sentNanos() {
            return mSentNanos;
        }

        boolean isOpen() {
            return mOpen;
        }

        void close() {
            mOpen = false;
        }
    }
}
