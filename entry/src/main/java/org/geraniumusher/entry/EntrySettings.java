package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.Address;

import java.util.List;
import java.util.Optional;

/** Settings of one daemon, which stay the same while it runs. Immutable. */
public final class EntrySettings {
    private final String mName;
    private final String mDataCentre;
    private final Address mCallerAddress;
    private final Address mReadinessAddress;
    private final Address mPeerAddress;
    private final Optional<Address> mMetricsAddress;
    private final ImmutableList<Address> mSeedAddresses;
    private final long mMaxHoldNanos;
    private final long mStopGraceNanos;
    private final long mDrainNanos;
    private final double mRetryRatio;
    private final double mRetrySlack;
    private final long mLinkMbps;

    private EntrySettings(Builder builder) {
        mName = checkNotNull(builder.mName, "name is not set");
        mDataCentre = checkNotNull(builder.mDataCentre, "dataCentre is not set");
        mCallerAddress = checkNotNull(builder.mCallerAddress, "callerAddress is not set");
        mReadinessAddress = checkNotNull(builder.mReadinessAddress, "readinessAddress is not set");
        mPeerAddress = checkNotNull(builder.mPeerAddress, "peerAddress is not set");
        mMetricsAddress = builder.mMetricsAddress;
        mSeedAddresses = builder.mSeedAddresses;
        mMaxHoldNanos = builder.mMaxHoldNanos;
        mStopGraceNanos = builder.mStopGraceNanos;
        mDrainNanos = builder.mDrainNanos;
        mRetryRatio = builder.mRetryRatio;
        mRetrySlack = builder.mRetrySlack;
        mLinkMbps = builder.mLinkMbps;
        checkArgument(mMaxHoldNanos > 0, "maxHoldNanos is not positive: %s", mMaxHoldNanos);
        checkArgument(mStopGraceNanos > 0, "stopGraceNanos is not positive: %s", mStopGraceNanos);
        checkArgument(mDrainNanos > 0, "drainNanos is not positive: %s", mDrainNanos);
        checkArgument(mRetryRatio >= 0, "retryRatio is negative: %s", mRetryRatio);
    }

    /** Returns a builder with the default values; names and addresses have none. */
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

    /** Returns the address at which the daemon listens for requests of callers. */
    public Address callerAddress() {
        return mCallerAddress;
    }

    /** Returns the address at which the daemon answers readiness checks. */
    public Address readinessAddress() {
        return mReadinessAddress;
    }

    /** Returns the address at which the daemon listens for its peers. */
    public Address peerAddress() {
        return mPeerAddress;
    }

    /** Returns the address of the operator port, which also serves metrics, if there is one. */
    public Optional<Address> metricsAddress() {
        return mMetricsAddress;
    }

    /** Returns the addresses of the peers to contact first, some of which may be out of date. */
    public ImmutableList<Address> seedAddresses() {
        return mSeedAddresses;
    }

    /** Returns the maximum time, in ns, for which a server may be granted keys. */
    public long maxHoldNanos() {
        return mMaxHoldNanos;
    }

    /** Returns the time, in ns, from the request to stop until the process is killed. */
    public long stopGraceNanos() {
        return mStopGraceNanos;
    }

    /** Returns the time, in ns, for which a server that is leaving may still get requests. */
    public long drainNanos() {
        return mDrainNanos;
    }

    /** Returns the number of retries that all daemons together may send per request of a caller. */
    public double retryRatio() {
        return mRetryRatio;
    }

    /** Returns the number of retries that all daemons together may send beyond the ratio. */
    public double retrySlack() {
        return mRetrySlack;
    }

    /** Returns the bandwidth of the network link in Mbit/s, or 0 if it is unknown. */
    public long linkMbps() {
        return mLinkMbps;
    }

    /** Builder of settings. Not thread-safe. */
    public static final class Builder {
        private String mName;
        private String mDataCentre;
        private Address mCallerAddress;
        private Address mReadinessAddress;
        private Address mPeerAddress;
        private Optional<Address> mMetricsAddress = Optional.empty();
        private ImmutableList<Address> mSeedAddresses = ImmutableList.of();
        private long mMaxHoldNanos = 10_000_000_000L;
        private long mStopGraceNanos = 6_000_000_000L;
        private long mDrainNanos = 2_000_000_000L;
        private double mRetryRatio = 0.2;
        private double mRetrySlack = 20;
        private long mLinkMbps;

        private Builder() {}

        /** Sets the name of the daemon and the data centre in which it runs. */
        public Builder setIdentity(String name, String dataCentre) {
            mName = checkNotNull(name);
            mDataCentre = checkNotNull(dataCentre);
            return this;
        }

        /** Sets the addresses at which the daemon listens. */
        public Builder setListenAddresses(
                Address callerAddress, Address readinessAddress, Address peerAddress) {
            mCallerAddress = checkNotNull(callerAddress);
            mReadinessAddress = checkNotNull(readinessAddress);
            mPeerAddress = checkNotNull(peerAddress);
            return this;
        }

        /** Sets the address of the operator port, which also serves metrics; none by default. */
        public Builder setMetricsAddress(Optional<Address> address) {
            mMetricsAddress = checkNotNull(address);
            return this;
        }

        /** Sets the bandwidth of the network link in Mbit/s; 0, the default, if it is unknown. */
        public Builder setLinkMbps(long linkMbps) {
            mLinkMbps = linkMbps;
            return this;
        }

        /** Sets the addresses of the peers to contact first; none by default. */
        public Builder setSeedAddresses(List<Address> addresses) {
            mSeedAddresses = ImmutableList.copyOf(addresses);
            return this;
        }

        /**
         * Sets the maximum time, in ns, for which a server may be granted keys; 10 s by default.
         */
        public Builder setMaxHoldNanos(long nanos) {
            mMaxHoldNanos = nanos;
            return this;
        }

        /** Sets the time, in ns, from the request to stop until the kill; 6 s by default. */
        public Builder setStopGraceNanos(long nanos) {
            mStopGraceNanos = nanos;
            return this;
        }

        /** Sets the time, in ns, for which a leaving server may get requests; 2 s by default. */
        public Builder setDrainNanos(long nanos) {
            mDrainNanos = nanos;
            return this;
        }

        /**
         * Limits the retries of all daemons together.
         *
         * @param ratio retries per request of a caller; 0.2 by default
         * @param slack number of retries beyond the ratio; 20 by default
         */
        public Builder setRetryLimits(double ratio, double slack) {
            mRetryRatio = ratio;
            mRetrySlack = slack;
            return this;
        }

        /**
         * Returns the settings.
         *
         * @throws NullPointerException if a name or an address is not set
         * @throws IllegalArgumentException if a value is out of range
         */
        public EntrySettings build() {
            return new EntrySettings(this);
        }
    }
}
