package review;

import java.util.ArrayList;
import java.util.List;

/**
 * The rule OWNER for the backends of one keyed service, which are all up for the whole run. Finds:
 * two that hold a key at the same time for over half a second; a grant of a key on which another is
 * at work whose hold has not run out; and requests that both begin on a key that both hold.
 */
final class KeyCheck {
    private static final long HALF_SECOND = 500_000_000;

    private final Record mRecord;
    private final List<Backend> mBackends = new ArrayList<>();
    private final long[] mBothSince = new long[Backend.KEYS];
    private final List<String> mBroken = new ArrayList<>();
    private boolean mOverlapReported;
    private long mLongestNanos;
    private int mKeysBoth;

    KeyCheck(Record record) {
        mRecord = record;
        Listener.daemonThread(
                () -> {
                    while (true) {
                        sample();
                        Thread.sleep(20);
                    }
                });
    }

    synchronized void add(Backend backend) {
        mBackends.add(backend);
    }

    synchronized boolean grant(Backend backend, int from, int to, long fence, long holdNanos) {
        for (int key = from; key <= to; key++) {
            if (backend.mFences[key] > fence) {
                return false;
            }
        }
        long now = System.nanoTime();
        boolean reported = false;
        for (int key = from; key <= to; key++) {
            for (Backend other : mBackends) {
                if (other != backend
                        && other.mAtWork[key] > 0
                        && other.mHoldEnds[key] > now
                        && !reported) {
                    reported = true;
                    broken(
                            "%s is granted key %d on which %s is at work, whose hold ends in %.1f s",
                            backend.id(),
                            key,
                            other.id(),
                            Record.seconds(other.mHoldEnds[key] - now));
                }
            }
            backend.mFences[key] = fence;
            backend.mHoldEnds[key] = now + holdNanos;
        }
        return true;
    }

    /** Stops new work at once; returns when the work on the keys has ended. */
    synchronized void release(Backend backend, int from, int to, long fence)
            throws InterruptedException {
        boolean atWork = false;
        for (int key = from; key <= to; key++) {
            backend.mHoldEnds[key] = Long.MIN_VALUE;
            backend.mFences[key] = Math.max(backend.mFences[key], fence);
            atWork |= backend.mAtWork[key] > 0;
        }
        while (atWork) {
            wait();
            atWork = false;
            for (int key = from; key <= to; key++) {
                atWork |= backend.mAtWork[key] > 0;
            }
        }
    }

    /** Begins a request; returns false if the backend does not hold its key. */
    synchronized boolean begin(Backend backend, int key, String id) {
        if (!backend.isKeyed()) {
            return true;
        }
        long now = System.nanoTime();
        if (backend.mHoldEnds[key] <= now) {
            return false;
        }
        for (Backend other : mBackends) {
            if (other != backend && other.isKeyed() && other.mHoldEnds[key] > now) {
                mRecord.line("%s begins %s on key %d, which %s holds too",
                        backend.id(), id, key, other.id());
            }
        }
        backend.mAtWork[key]++;
        return true;
    }

    /** Ends a request; returns whether the hold of its key lasted. */
    synchronized boolean end(Backend backend, int key) {
        if (!backend.isKeyed()) {
            return true;
        }
        backend.mAtWork[key]--;
        notifyAll();
        // A release lets the work that was running come to its end.
        return backend.mHoldEnds[key] == Long.MIN_VALUE
                || backend.mHoldEnds[key] > System.nanoTime();
    }

    private synchronized void sample() {
        long now = System.nanoTime();
        int both = 0;
        for (int key = 0; key < Backend.KEYS; key++) {
            int holders = 0;
            for (Backend backend : mBackends) {
                if (backend.isKeyed() && backend.mHoldEnds[key] > now) {
                    holders++;
                }
            }
            if (holders < 2) {
                mBothSince[key] = 0;
                continue;
            }
            both++;
            if (mBothSince[key] == 0) {
                mBothSince[key] = now;
            }
            mLongestNanos = Math.max(mLongestNanos, now - mBothSince[key]);
            if (now - mBothSince[key] > HALF_SECOND && !mOverlapReported) {
                mOverlapReported = true;
                broken("two backends have held key %d for over half a second", key);
            }
        }
        mKeysBoth = Math.max(mKeysBoth, both);
    }

    private void broken(String format, Object... arguments) {
        String text = String.format(format, arguments);
        mBroken.add(text);
        mRecord.line("OWNER BROKEN: %s", text);
    }

    /** Returns how many keys some backend holds now. */
    synchronized int heldKeys() {
        long now = System.nanoTime();
        int held = 0;
        for (int key = 0; key < Backend.KEYS; key++) {
            for (Backend backend : mBackends) {
                if (backend.isKeyed() && backend.mHoldEnds[key] > now) {
                    held++;
                    break;
                }
            }
        }
        return held;
    }

    synchronized List<String> broken() {
        return List.copyOf(mBroken);
    }

    synchronized String summary() {
        return String.format(
                "most keys held by two backends at once: %d; longest: %.2f s",
                mKeysBoth, Record.seconds(mLongestNanos));
    }
}
