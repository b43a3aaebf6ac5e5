package org.geraniumusher.ownership;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the grants of one run of a backend server and decides which keyed requests may run.
 *
 * <p>The last accepted grant of a service has the highest (version, reading) of all that were
 * offered to this run. Times are readings of the server's own monotonic clock. Not thread-safe.
 */
public final class GrantHolder {
    private final long mIncarnation;
    private final Map<String, Holding> mHoldings = new HashMap<>();

    private GrantHolder(long incarnation) {
        mIncarnation = incarnation;
    }

    /** Creates the holder of a server that has just started and holds no grant. */
    public static GrantHolder create(long incarnation) {
        return new GrantHolder(incarnation);
    }

    /** Returns the identity of this run of the server. */
    public long incarnation() {
        return mIncarnation;
    }

    /** Puts a grant in force unless it is for another run or not newer than the last one. */
    public GrantReply onGrant(Grant grant) {
        checkNotNull(grant, "grant");
        if (grant.incarnation() != mIncarnation) {
            return new GrantReply.Refused("grant for incarnation " + grant.incarnation());
        }
        Holding holding = mHoldings.computeIfAbsent(grant.service(), s -> new Holding());
        if (holding.mGrant != null && !grant.isNewerThan(holding.mGrant)) {
            return new GrantReply.Refused(
                    "grant of version " + grant.version() + " is not newer than the last");
        }
        holding.mGrant = grant;
        holding.mUnacknowledged = true;
        Optional<GrantAck> ack = holding.acknowledge();
        return ack.isPresent() ? new GrantReply.Acknowledged(ack.get()) : new GrantReply.Deferred();
    }

    /** Decides whether a request with this key hash and epoch may run now. */
    public Admission check(long nowNanos, String service, long hash, long epoch) {
        Holding holding = mHoldings.get(service);
        if (holding == null) {
            return Admission.NO_GRANT;
        }
        if (nowNanos - holding.mGrant.expiryNanos() >= 0) {
            return Admission.EXPIRED;
        }
        Optional<GrantRange> range = holding.mGrant.rangeOf(hash);
        if (range.isEmpty()) {
            return Admission.NOT_OWNED;
        }
        return range.get().epoch() == epoch ? Admission.ADMITTED : Admission.WRONG_EPOCH;
    }

    /** Decides as {@link #check} does and counts the request as running when it is admitted. */
    public Admission onRequestStart(long nowNanos, String service, long hash, long epoch) {
        Admission admission = check(nowNanos, service, hash, epoch);
        if (admission.isAdmitted()) {
            mHoldings.get(service).mRunning.add(hash);
        }
        return admission;
    }

    /**
     * Counts an admitted request as ended. Returns the acknowledgement of a deferred grant when
     * this was the last request outside it.
     */
    public Optional<GrantAck> onRequestEnd(String service, long hash) {
        Holding holding = mHoldings.get(service);
        checkState(
                holding != null && holding.mRunning.remove(hash),
                "no request runs on hash %s of %s",
                hash,
                service);
        return holding.mUnacknowledged ? holding.acknowledge() : Optional.empty();
    }

    /** Keeps the last grant of one service and the requests that run on its slices. */
    private static final class Holding {
        /**
         * Hashes of running requests, once per request. Slots bound their number, and hashes stay
         * right when slices are split.
         */
        private final Multiset<Long> mRunning = HashMultiset.create();

        private Grant mGrant;
        private boolean mUnacknowledged;

        private Optional<GrantAck> acknowledge() {
            for (long hash : mRunning.elementSet()) {
                if (mGrant.rangeOf(hash).isEmpty()) {
                    return Optional.empty();
                }
            }
            mUnacknowledged = false;
            return Optional.of(
                    new GrantAck(
                            mGrant.service(),
                            mGrant.incarnation(),
                            mGrant.version(),
                            mGrant.readingNanos()));
        }
    }
}
