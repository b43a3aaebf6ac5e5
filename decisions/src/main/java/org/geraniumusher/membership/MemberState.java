package org.geraniumusher.membership;

/** Lists what is believed about a member. A later constant wins at the same refutation. */
public enum MemberState {
    /** The member answers probes. */
    ALIVE(true),
    /** The member was silent on direct and indirect paths and may still refute. */
    SUSPECT(true),
    /** The member did not refute in time. It may come back with a higher refutation. */
    DEAD(false),
    /** The member said that it leaves. This is final for its incarnation. */
    LEFT(false);

    private final boolean mLive;

    MemberState(boolean live) {
        mLive = live;
    }

    /** Reports whether the member is still probed. */
    public boolean isLive() {
        return mLive;
    }
}
