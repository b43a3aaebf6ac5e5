package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;

import org.geraniumusher.keyrange.CoordinatorRecord;
import org.geraniumusher.keyrange.HoldReport;
import org.geraniumusher.model.Address;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * What the coordinator before the present term of this daemon knew of the holds at its end, and
 * what this daemon knew at the end of its own last term. Confined to the event loop.
 *
 * <p>Invariant: reports of a term are given out and used only until the next term of this daemon
 * begins or the store is restored.
 */
final class HoldReports {
    /**
     * Time for which a term waits for the report. It must be short, as the holds of all ranges run
     * out meanwhile if the former coordinator has gone.
     */
    static final long MAX_WAIT_NANOS = 200_000_000L;

    /** Asks a coordinator whose term has ended. */
    interface Inquiry {
        /** Gets no reports. */
        Inquiry NONE = (peer, incarnation, onReports) -> onReports.accept(ImmutableMap.of());

        /**
         * Asks for the reports of the last term of a run of a daemon.
         *
         * @param onReports receives the reports by service, none if the daemon has none
         */
        void ask(
                Address peer,
                long incarnation,
                Consumer<ImmutableMap<String, HoldReport>> onReports);
    }

    private final Address mSelf;
    private Inquiry mInquiry = Inquiry.NONE;
    private ImmutableMap<String, HoldReport> mOwn = ImmutableMap.of();
    private ImmutableMap<String, HoldReport> mFormer = ImmutableMap.of();
    private boolean mPending;
    private long mPendingUntil;

    /** Incremented to ignore reports that arrive too late. */
    private long mTerm;

    HoldReports(Address self) {
        mSelf = checkNotNull(self);
    }

    void setInquiry(Inquiry inquiry) {
        mInquiry = checkNotNull(inquiry);
    }

    /**
     * Begins a term of this daemon, after that of the coordinator which {@code former} names.
     *
     * @param onReports runs when its reports have come
     */
    void beginTerm(Optional<CoordinatorRecord> former, long nowNanos, Runnable onReports) {
        forgetOwn();
        forgetFormer();
        Optional<Address> peer =
                former.flatMap(HoldReports::peerAddress).filter(a -> !a.equals(mSelf));
        if (peer.isEmpty()) {
            return;
        }
        mPending = true;
        mPendingUntil = nowNanos + MAX_WAIT_NANOS;
        long term = mTerm;
        mInquiry.ask(
                peer.get(),
                former.get().incarnation(),
                reports -> {
                    if (mPending && term == mTerm) {
                        mPending = false;
                        mFormer = reports;
                        onReports.run();
                    }
                });
    }

    /** Returns the address in a record, which may come from another writer. */
    private static Optional<Address> peerAddress(CoordinatorRecord record) {
        try {
            return Optional.of(Address.of(record.peerAddress()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Reports whether the present term still waits for the report of the one before. */
    boolean isPending(long nowNanos) {
        mPending &= nowNanos < mPendingUntil;
        return mPending;
    }

    /** Returns what the former coordinator reported of a service. */
    Optional<HoldReport> former(String service) {
        return Optional.ofNullable(mFormer.get(service));
    }

    /** Sets the reports of a term of this daemon that has ended. */
    void setOwn(Map<String, HoldReport> reports) {
        mOwn = ImmutableMap.copyOf(reports);
    }

    /** Returns the reports of the last term of this daemon. */
    ImmutableMap<String, HoldReport> own() {
        return mOwn;
    }

    /** Forgets the reports of this daemon, after whose last term another one may begin. */
    void forgetOwn() {
        mOwn = ImmutableMap.of();
    }

    /** Forgets the reports of the former coordinator, also those that are waited for. */
    void forgetFormer() {
        mTerm++;
        mPending = false;
        mFormer = ImmutableMap.of();
    }
}
