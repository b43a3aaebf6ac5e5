package org.geraniumusher.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * States what one daemon believes about a member. Immutable and thread-safe.
 *
 * <p>The incarnation of the member identifies its process and stays the same when it refutes a
 * suspicion. A separate counter orders refutations, because ownership counts a member with a newer
 * incarnation as certainly gone.
 *
 * @param refutation number of suspicions that the member has refuted in this incarnation
 */
public record MemberUpdate(Member member, int refutation, MemberState state) {
    /** Highest refutation; a forged update cannot make the counter overflow. */
    static final int MAX_REFUTATION = Integer.MAX_VALUE;

    /** Refuses a negative refutation. */
    public MemberUpdate {
        checkNotNull(member, "member");
        checkNotNull(state, "state");
        checkArgument(refutation >= 0, "bad refutation of %s: %s", member.name(), refutation);
    }

    /** Returns the update that a member starts with. */
    public static MemberUpdate of(Member member) {
        return new MemberUpdate(member, 0, MemberState.ALIVE);
    }

    /** Reports whether this is newer than {@code other} about the same name. */
    boolean supersedes(MemberUpdate other) {
        if (member.incarnation() != other.member.incarnation()) {
            return member.incarnation() > other.member.incarnation();
        }
        if (state == MemberState.LEFT || other.state == MemberState.LEFT) {
            return other.state != MemberState.LEFT;
        }
        if (refutation != other.refutation) {
            return refutation > other.refutation;
        }
        return state.compareTo(other.state) > 0;
    }

    MemberUpdate withState(MemberState newState) {
        return new MemberUpdate(member, refutation, newState);
    }

    MemberUpdate refuting(int refuted) {
        return new MemberUpdate(member, refuted + 1, MemberState.ALIVE);
    }

    String name() {
        return member.name();
    }
}
