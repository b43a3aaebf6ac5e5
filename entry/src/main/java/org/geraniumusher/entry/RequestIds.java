package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.escape.Escaper;
import com.google.common.net.UrlEscapers;

/**
 * Creates IDs for requests whose caller sent none. Confined to the event loop.
 *
 * <p>Invariant: an ID is unique among all daemons and over their restarts, as long as daemons have
 * different names and the incarnations of a daemon differ. It consists of characters that a header
 * may carry.
 */
final class RequestIds {
    /** Leaves the characters of usual names as they are, and maps different names differently. */
    private static final Escaper NAME_ESCAPER = UrlEscapers.urlPathSegmentEscaper();

    private static final int RADIX = 16;

    private final String mPrefix;
    private long mCount;

    private RequestIds(String prefix) {
        mPrefix = prefix;
    }

    /**
     * Creates the source of IDs of one run of a daemon.
     *
     * @param incarnation identifies this run of the daemon
     */
    static RequestIds create(String daemonName, long incarnation) {
        checkArgument(incarnation >= 0, "incarnation is negative: %s", incarnation);
        // The name may contain the separator, the two numbers don't.
        return new RequestIds(
                NAME_ESCAPER.escape(daemonName) + "-" + Long.toString(incarnation, RADIX) + "-");
    }

    /** Returns an ID that was not returned before. */
    String next() {
        mCount++;
        return mPrefix + Long.toString(mCount, RADIX);
    }
}
