package org.geraniumusher.ownership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies one run of a daemon. A restarted daemon has another incarnation and is not a member of
 * the groups of its former one, since it has forgotten what it acknowledged. Immutable and
 * thread-safe.
 *
 * @param name name of the daemon
 * @param incarnation start time of the daemon; higher after each restart
 */
public record MemberId(String name, long incarnation) {
    /** Refuses an empty name. */
    public MemberId {
        checkArgument(!name.isBlank(), "daemon without a name");
    }

    /** Returns the identity written as {@code name@incarnation}, the form used in the store. */
    public static MemberId parse(String text) {
        int at = text.lastIndexOf('@');
        checkArgument(at > 0, "bad daemon identity: %s", text);
        return new MemberId(text.substring(0, at), Long.parseLong(text.substring(at + 1)));
    }

    @Override
    public String toString() {
        return name + "@" + incarnation;
    }
}
