package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.Address;

import java.util.List;
import java.util.Optional;

/** Settings of one daemon. Immutable. */
public final class EntrySettings {
    private final String mName;
    private final String mDataCentre;
    private final Address mCallers;
    private final Address mReadiness;
    private final Address mPeers;
    private final Optional<Address> mMetrics;
    private final ImmutableList<Address> mSeeds;
    private final long mMaxHoldNanos;
    private final long mStopNanos;
    private final long mDrainNanos;
    private final double mResendShare;
    private final double mResendSlack;
    private final long mLinkMbps;

    private EntrySettings(Builder builder) {
        mName = checkNotNull(builder.mName, "no name");
        mDataCentre = checkNotNull(builder.mDataCentre, "no data centre");
        mCallers = checkNotNull(builder.mCallers, "no address for callers");
        mReadiness = checkNotNull(builder.mReadiness, "no address for readiness");
        mPeers = checkNotNull(builder.mPeers, "no address for peers");
        mMetrics = builder.mMetrics;
        mSeeds = builder.mSeeds;
        mMaxHoldNanos = builder.mMaxHoldNanos;
        mStopNanos = builder.mStopNanos;
        mDrainNanos = builder.mDrainNanos;
        mResendShare = builder.mResendShare;
        mResendSlack = builder.mResendSlack;
        mLinkMbps = builder.mLinkMbps;
        checkArgument(mMaxHoldNanos > 0, "bad longest hold: %s ns", mMaxHoldNanos);
        checkArgument(mStopNanos > 0, "bad time to stop: %s ns", mStopNanos);
        checkArgument(mDrainNanos > 0, "bad time to drain: %s ns", mDrainNanos);
        checkArgument(mResendShare >= 0, "bad share of resends: %s", mResendShare);
    }

    /** Returns an empty builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the name of the daemon. */
    public String name() {
        return mName;
    }

    /** Returns the data centre of the daemon. */
    public String dataCentre() {
        return mDataCentre;
    }

    /** Returns the address at which callers connect. */
    public Address callers() {
        return mCallers;
    }

    /** Returns the address at which readiness is asked for. */
    public Address readiness() {
        return mReadiness;
    }

    /** Returns the address at which other daemons connect. */
    public Address peers() {
        return mPeers;
    }

    /** Returns the address of the metrics, if they are to be served. */
    public Optional<Address> metrics() {
        return mMetrics;
    }

    /** Returns peer addresses of some daemons; these may be out of date. */
    public ImmutableList<Address> seeds() {
        return mSeeds;
    }

    /** Returns the longest time for which a server may be granted keys. */
    public long maxHoldNanos() {
        return mMaxHoldNanos;
    }

    /** Returns the time after the request to stop at which the daemon is killed. */
    public long stopNanos() {
        return mStopNanos;
    }

    /** Returns the time after which a leaving server must get no requests. */
    public long drainNanos() {
        return mDrainNanos;
    }

    /** Returns the share of requests that all daemons together may send again. */
    public double resendShare() {
        return mResendShare;
    }

    /** Returns the number of requests that may be sent again on top of the share. */
    public double resendSlack() {
        return mResendSlack;
    }

    /** Returns the width of the network link in Mbit/s, or 0 when it is not known. */
    public long linkMbps() {
        return mLinkMbps;
    }

    /** Builds settings. Not thread-safe. */
    public static final class Builder {
        private String mName;
        private String mDataCentre;
        private Address mCallers;
        private Address mReadiness;
        private Address mPeers;
        private Optional<Address> mMetrics = Optional.empty();
        private ImmutableList<Address> mSeeds = ImmutableList.of();
        private long mMaxHoldNanos = 10_000_000_000L;
        private long mStopNanos = 6_000_000_000L;
        private long mDrainNanos = 2_000_000_000L;
        private double mResendShare = 0.2;
        private double mResendSlack = 20;
        private long mLinkMbps;

        private Builder() {}

        /** Sets the name of the daemon and the data centre in which it runs. */
        public Builder setIdentity(String name, String dataCentre) {
            mName = checkNotNull(name);
            mDataCentre = checkNotNull(dataCentre);
            return this;
        }

        /** Sets the addresses to listen at. */
        public Builder setListen(Address callers, Address readiness, Address peers) {
            mCallers = checkNotNull(callers);
            mReadiness = checkNotNull(readiness);
            mPeers = checkNotNull(peers);
            return this;
        }

        /** Sets the address of the metrics. */
        public Builder setMetrics(Optional<Address> metrics) {
            mMetrics = checkNotNull(metrics);
            return this;
        }

        /** Sets the width of the network link in Mbit/s. */
        public Builder setLinkMbps(long linkMbps) {
            mLinkMbps = linkMbps;
            return this;
        }

        /** Sets peer addresses of some daemons. */
        public Builder setSeeds(List<Address> seeds) {
            mSeeds = ImmutableList.copyOf(seeds);
            return this;
        }

        /** Sets the longest hold of keys. */
        public Builder setMaxHoldNanos(long nanos) {
            mMaxHoldNanos = nanos;
            return this;
        }

        /** Sets the time to stop. */
        public Builder setStopNanos(long nanos) {
            mStopNanos = nanos;
            return this;
        }

        /** Sets the time after which a leaving server must get no requests. */
        public Builder setDrainNanos(long nanos) {
            mDrainNanos = nanos;
            return this;
        }

        /** Sets the share of requests that may be sent again, and a number on top of it. */
        public Builder setResends(double share, double slack) {
            mResendShare = share;
            mResendSlack = slack;
            return this;
        }

        /** Returns the settings; throws when a value is missing or out of range. */
        public EntrySettings build() {
            return new EntrySettings(this);
        }
    }
}
