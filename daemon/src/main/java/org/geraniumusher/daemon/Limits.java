package org.geraniumusher.daemon;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.EnumMap;
import java.util.Map;

/**
 * Holds the limits of a daemon. Each value lies in the range of its {@link SettingKey}. Immutable
 * and thread-safe.
 *
 * @param maxHeaderBytes largest header of a request, in bytes
 * @param maxInitialLineBytes longest request line, in bytes
 * @param maxConnections connections of callers open at once
 * @param idleTimeoutMillis time after which a silent connection is closed
 * @param requestTimeoutMillis longest time of a request, whatever its route allows
 * @param drainTimeoutMillis longest time that a graceful stop waits for requests in flight
 * @param queuePerServer requests that wait for one backend server
 * @param connectionsPerServer connections to one backend server
 * @param ringCapacity messages in a ring between two duties; a power of two
 * @param ioThreads threads of the duty io
 */
public record Limits(
        int maxHeaderBytes,
        int maxInitialLineBytes,
        int maxConnections,
        int idleTimeoutMillis,
        int requestTimeoutMillis,
        int drainTimeoutMillis,
        int queuePerServer,
        int connectionsPerServer,
        int ringCapacity,
        int ioThreads) {

    /** Returns a builder with the defaults of {@link SettingKey}. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds limits. Not thread-safe. */
    public static final class Builder {
        private final Map<SettingKey, Integer> mValues = new EnumMap<>(SettingKey.class);

        private Builder() {}

        /** Sets the largest header of a request. */
        public Builder maxHeaderBytes(int bytes) {
            return set(SettingKey.MAX_HEADER_BYTES, bytes);
        }

        /** Sets the longest request line. */
        public Builder maxInitialLineBytes(int bytes) {
            return set(SettingKey.MAX_INITIAL_LINE_BYTES, bytes);
        }

        /** Sets the connections of callers open at once. */
        public Builder maxConnections(int count) {
            return set(SettingKey.MAX_CONNECTIONS, count);
        }

        /** Sets the time after which a silent connection is closed. */
        public Builder idleTimeoutMillis(int millis) {
            return set(SettingKey.IDLE_TIMEOUT, millis);
        }

        /** Sets the longest time of a request. */
        public Builder requestTimeoutMillis(int millis) {
            return set(SettingKey.REQUEST_TIMEOUT, millis);
        }

        /** Sets the longest time of a graceful stop. */
        public Builder drainTimeoutMillis(int millis) {
            return set(SettingKey.DRAIN_TIMEOUT, millis);
        }

        /** Sets the requests that wait for one backend server. */
        public Builder queuePerServer(int count) {
            return set(SettingKey.QUEUE_PER_SERVER, count);
        }

        /** Sets the connections to one backend server. */
        public Builder connectionsPerServer(int count) {
            return set(SettingKey.CONNECTIONS_PER_SERVER, count);
        }

        /** Sets the capacity of the rings. */
        public Builder ringCapacity(int count) {
            return set(SettingKey.RING_CAPACITY, count);
        }

        /** Sets the threads of the duty io. */
        public Builder ioThreads(int count) {
            return set(SettingKey.IO_THREADS, count);
        }

        /** Returns the limits. */
        public Limits build() {
            return new Limits(
                    get(SettingKey.MAX_HEADER_BYTES),
                    get(SettingKey.MAX_INITIAL_LINE_BYTES),
                    get(SettingKey.MAX_CONNECTIONS),
                    get(SettingKey.IDLE_TIMEOUT),
                    get(SettingKey.REQUEST_TIMEOUT),
                    get(SettingKey.DRAIN_TIMEOUT),
                    get(SettingKey.QUEUE_PER_SERVER),
                    get(SettingKey.CONNECTIONS_PER_SERVER),
                    get(SettingKey.RING_CAPACITY),
                    get(SettingKey.IO_THREADS));
        }

        Builder set(SettingKey key, int value) {
            checkArgument(
                    key.accepts(Integer.toString(value)),
                    "bad %s: %s, allowed is %s",
                    key.path(),
                    value,
                    key.allowed());
            mValues.put(key, value);
            return this;
        }

        private int get(SettingKey key) {
            Integer value = mValues.get(key);
            return value != null ? value : Integer.parseInt(key.defaultText());
        }
    }
}
