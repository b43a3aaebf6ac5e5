package org.geraniumusher.daemon;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.burn.BurnSummary;
import org.geraniumusher.membership.Member;
import org.geraniumusher.membership.Rendezvous;
import org.geraniumusher.operator.ServiceLevels;

import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Sends the counts for the burn report to two collectors, which every daemon chooses alike among
 * the live ones.
 *
 * <p>A summary has at most 79,633 bytes and goes to two daemons every 5 minutes, so a daemon sends
 * at most 531 bytes a second, a quarter of the 2 KB a second of the budget for control. After a
 * change of the collectors the counts are sent again early, and a collector also hands on the
 * counts of runs that have ended, which nobody else can send. Confined to one thread.
 */
final class BurnExchange {
    /** Time between two summaries to the same collector. */
    static final long PERIOD_NANOS = Duration.ofMinutes(5).toNanos();

    /** Delay after a change of the collectors, in which a burst of changes settles. */
    static final long SETTLE_NANOS = Duration.ofSeconds(2).toNanos();

    private final Member mSelf;
    private final ServiceLevels mLevels;
    private final BiConsumer<Member, BurnSummary> mSender;
    private ImmutableList<Member> mLive = ImmutableList.of();
    private ImmutableList<Member> mCollectors = ImmutableList.of();
    private ImmutableList<Member> mSentTo = ImmutableList.of();
    private long mNextNanos;

    BurnExchange(Member self, ServiceLevels levels, BiConsumer<Member, BurnSummary> sender) {
        mSelf = checkNotNull(self);
        mLevels = checkNotNull(levels);
        mSender = checkNotNull(sender);
    }

    /** Takes the live members; returns whether the collectors have changed. */
    boolean onMembers(long nowNanos, Rendezvous live) {
        mLive = live.members();
        ImmutableList<Member> collectors = live.burnCollectors();
        boolean changed = !collectors.equals(mCollectors);
        if (changed) {
            mCollectors = collectors;
            mNextNanos = nowNanos + SETTLE_NANOS;
        }
        return changed;
    }

    /** Sends the counts when they are due. */
    void onTick(long nowNanos) {
        if (nowNanos - mNextNanos >= 0) {
            mNextNanos = nowNanos + PERIOD_NANOS;
            sendOwn();
            handOnTo(mCollectors.stream().filter(c -> !mSentTo.contains(c)).toList());
            mSentTo = mCollectors;
        }
    }

    /** Sends everything that nobody else can send, as the last act of a graceful stop. */
    void onStop() {
        sendOwn();
        handOnTo(mCollectors);
    }

    /** Returns the collectors, this daemon included when it is one. */
    ImmutableList<Member> collectors() {
        return mCollectors;
    }

    private void sendOwn() {
        BurnSummary own = mLevels.summary();
        if (!own.routes().isEmpty()) {
            mCollectors.forEach(collector -> send(collector, own));
        }
    }

    private void handOnTo(List<Member> collectors) {
        for (BurnSummary summary : mLevels.others()) {
            if (mLive.stream().noneMatch(member -> isSource(member, summary))) {
                collectors.forEach(collector -> send(collector, summary));
            }
        }
    }

    private void send(Member collector, BurnSummary summary) {
        if (!collector.equals(mSelf)) {
            mSender.accept(collector, summary);
        }
    }

    private static boolean isSource(Member member, BurnSummary summary) {
        return member.name().equals(summary.source())
                && member.incarnation() == summary.incarnation();
    }
}
