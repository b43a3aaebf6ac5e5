package org.geraniumusher.keyrange;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** What the store of a {@link RangeSimulation} has, and had after each write. Not thread-safe. */
final class SimulatedStore {
    private static final long FIRST_REVISION = 10;

    private Optional<CoordinatorRecord> mRecord = Optional.empty();
    private Optional<RangeTable> mTable = Optional.empty();
    private long mRevision = FIRST_REVISION;

    /** Number of restores, counted from 1; all answers of the store report it. */
    private long mEpoch = 1;

    /** States of the store after each write, in order of time. */
    private final List<State> mStates = new ArrayList<>();

    private record State(
            long at,
            long revision,
            Optional<CoordinatorRecord> record,
            Optional<RangeTable> table) {}

    Optional<CoordinatorRecord> record() {
        return mRecord;
    }

    Optional<RangeTable> table() {
        return mTable;
    }

    long epoch() {
        return mEpoch;
    }

    /** Returns the revision of the next write. */
    long nextRevision() {
        return ++mRevision;
    }

    void setRecord(CoordinatorRecord record, long nowNanos) {
        mRecord = Optional.of(record);
        recordState(nowNanos);
    }

    void setTable(RangeTable table, long nowNanos) {
        mTable = Optional.of(table);
        recordState(nowNanos);
    }

    private void recordState(long nowNanos) {
        mStates.add(new State(nowNanos, mRevision, mRecord, mTable));
    }

    /** Returns to the state at {@code atNanos}; later writes are lost. */
    void restore(long atNanos, long nowNanos) {
        State copy = new State(0, FIRST_REVISION, Optional.empty(), Optional.empty());
        for (State state : mStates) {
            if (state.at <= atNanos) {
                copy = state;
            }
        }
        mEpoch++;
        mRevision = copy.revision;
        mRecord = copy.record;
        mTable = copy.table;
        recordState(nowNanos);
    }
}
