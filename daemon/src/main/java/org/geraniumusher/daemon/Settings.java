package org.geraniumusher.daemon;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.Address;

import java.util.List;

/**
 * Holds what a daemon reads at its start. {@link SettingsReader} checks the ranges. Immutable and
 * thread-safe.
 *
 * @param caller address on which callers are served, HTTP
 * @param forward address on which other daemons hand over requests, HTTP
 * @param peer address of the messages between daemons, UDP and TCP
 * @param operator address of the operator port, HTTP
 * @param platform address of the platform's object API, HTTP
 * @param seeds peer addresses of daemons that are asked for members first; may be empty
 */
public record Settings(
        String name,
        String dataCentre,
        String region,
        Address caller,
        Address forward,
        Address peer,
        Address operator,
        Address platform,
        List<Address> seeds,
        Limits limits,
        LogLevel logLevel) {
    /** Refuses nulls and copies the seeds. */
    public Settings {
        checkNotNull(name, "name");
        checkNotNull(dataCentre, "dataCentre");
        checkNotNull(region, "region");
        checkNotNull(caller, "caller");
        checkNotNull(forward, "forward");
        checkNotNull(peer, "peer");
        checkNotNull(operator, "operator");
        checkNotNull(platform, "platform");
        checkNotNull(limits, "limits");
        checkNotNull(logLevel, "logLevel");
        seeds = ImmutableList.copyOf(seeds);
    }

    /** Returns a builder without seeds, with the default limits and the level info. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds settings. Not thread-safe. */
    public static final class Builder {
        private String mName;
        private String mDataCentre;
        private String mRegion;
        private Address mCaller;
        private Address mForward;
        private Address mPeer;
        private Address mOperator;
        private Address mPlatform;
        private List<Address> mSeeds = ImmutableList.of();
        private Limits mLimits = Limits.builder().build();
        private LogLevel mLogLevel = LogLevel.INFO;

        private Builder() {}

        /** Sets the name of the daemon. */
        public Builder name(String name) {
            mName = name;
            return this;
        }

        /** Sets the data centre and its region. */
        public Builder place(String dataCentre, String region) {
            mDataCentre = dataCentre;
            mRegion = region;
            return this;
        }

        /** Sets the address for callers. */
        public Builder caller(Address address) {
            mCaller = address;
            return this;
        }

        /** Sets the address for requests that other daemons hand over. */
        public Builder forward(Address address) {
            mForward = address;
            return this;
        }

        /** Sets the address for messages between daemons. */
        public Builder peer(Address address) {
            mPeer = address;
            return this;
        }

        /** Sets the address of the operator port. */
        public Builder operator(Address address) {
            mOperator = address;
            return this;
        }

        /** Sets the address of the platform's object API. */
        public Builder platform(Address address) {
            mPlatform = address;
            return this;
        }

        /** Sets the peer addresses that are asked first. */
        public Builder seeds(List<Address> seeds) {
            mSeeds = seeds;
            return this;
        }

        /** Sets the limits. */
        public Builder limits(Limits limits) {
            mLimits = limits;
            return this;
        }

        /** Sets the lowest level that is logged. */
        public Builder logLevel(LogLevel level) {
            mLogLevel = level;
            return this;
        }

        /** Returns the settings; throws {@link NullPointerException} when a value is missing. */
        public Settings build() {
            return new Settings(
                    mName,
                    mDataCentre,
                    mRegion,
                    mCaller,
                    mForward,
                    mPeer,
                    mOperator,
                    mPlatform,
                    mSeeds,
                    mLimits,
                    mLogLevel);
        }
    }
}
