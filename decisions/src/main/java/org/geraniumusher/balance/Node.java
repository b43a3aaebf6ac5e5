package org.geraniumusher.balance;

import java.util.ArrayList;
import java.util.List;

/**
 * Tracks one server while a plan is made: moves in flight and planned moves count as complete. Not
 * thread-safe.
 */
final class Node {
    private final ServerCapacity mServer;
    private final double mCapacity;
    private final int mMaxIncoming;
    private final List<SliceLoad> mMovable = new ArrayList<>();
    private double mWeight;
    private int mIncoming;
    private boolean mHasBigMove;

    Node(ServerCapacity server, double capacity, int maxIncoming) {
        mServer = server;
        mCapacity = capacity;
        mMaxIncoming = maxIncoming;
    }

    String name() {
        return mServer.name();
    }

    boolean isDraining() {
        return mServer.isDraining();
    }

    double capacity() {
        return mCapacity;
    }

    double weight() {
        return mWeight;
    }

    /** Returns the weight per capacity after {@code added} more weight. */
    double levelWith(double added) {
        return (mWeight + added) / mCapacity;
    }

    double level() {
        return levelWith(0);
    }

    List<SliceLoad> movable() {
        return mMovable;
    }

    void own(SliceLoad slice, double weight) {
        mMovable.add(slice);
        mWeight += weight;
    }

    /** Records that a slice comes here by a move that is not complete. */
    void receive(double weight) {
        mWeight += weight;
        mIncoming++;
    }

    void give(SliceLoad slice, double weight) {
        mMovable.remove(slice);
        mWeight -= weight;
    }

    void startBigMove() {
        mHasBigMove = true;
    }

    boolean hasBigMove() {
        return mHasBigMove;
    }

    boolean canReceive(boolean isBig) {
        return mIncoming < mMaxIncoming && !(isBig && mHasBigMove);
    }
}
