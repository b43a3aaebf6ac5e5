package org.geraniumusher.experiments;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.dissemination.Disseminator;
import org.geraniumusher.membership.DetectorSettings;
import org.geraniumusher.membership.FailureDetector;
import org.geraniumusher.membership.Member;
import org.geraniumusher.membership.MemberUpdate;
import org.geraniumusher.membership.MembershipCommand;
import org.geraniumusher.membership.MembershipMessage;
import org.geraniumusher.membership.Rendezvous;
import org.geraniumusher.peer.WireFormat;

import java.util.List;

/** Measures one probe period of the failure detector by the number of members. */
public final class DetectorSlopes {
    private static final int[] MEMBERS = {11, 100, 1_000, 2_800};
    private static final int TICKS_PER_PERIOD = 20;
    private static final long TICK_NANOS = 25_000_000;
    private static final int PERIODS_PER_SECOND = 2;

    private final ImmutableList<Member> mMembers;
    private final FailureDetector mDetector;
    private long mNowNanos;
    private long mSentBytes;
    private long mPeriods;

    private DetectorSlopes(int members) {
        mMembers = Fleet.members(members);
        mDetector = FailureDetector.create(mMembers.get(0), DetectorSettings.DEFAULT, 1);
        mDetector.onTick(0);
        ImmutableList<MemberUpdate> updates =
                mMembers.stream().map(MemberUpdate::of).collect(ImmutableList.toImmutableList());
        mDetector.onMessage(0, new MembershipMessage.MembersReply(updates.get(1), updates));
    }

    /** Prints the table. */
    public static void main(String[] args) {
        System.out.println("### Failure detector and control tick\n");
        System.out.println(
                "| members | bytes sent a second | detector µs a second | heap bytes a member"
                        + " | feeder check µs a tick | Rendezvous.of µs a change"
                        + " | full member list bytes |");
        System.out.println("|---|---|---|---|---|---|---|");
        for (int members : MEMBERS) {
            printRow(members);
        }
        System.out.println();
    }

    private static void printRow(int members) {
        DetectorSlopes run = new DetectorSlopes(members);
        Summary period = CpuMeter.micros(run::period);
        Summary heap = CpuMeter.retainedBytes(20, () -> new DetectorSlopes(members));
        Disseminator disseminator = Disseminator.create(run.mMembers.get(0));
        disseminator.onListed(1_000_000, Fleet.changes(Fleet.objects(100)));
        disseminator.onMembers(Rendezvous.of(run.mMembers), run.mMembers);
        System.out.printf(
                "| %d | %d | %.0f (%.0f–%.0f) | %.0f | %s | %s | %d |%n",
                members,
                PERIODS_PER_SECOND * run.mSentBytes / run.mPeriods,
                PERIODS_PER_SECOND * period.median(),
                PERIODS_PER_SECOND * period.lowest(),
                PERIODS_PER_SECOND * period.highest(),
                heap.median() / members,
                CpuMeter.text(CpuMeter.micros(disseminator::isFeeder)),
                CpuMeter.text(CpuMeter.micros(() -> Rendezvous.of(run.mMembers))),
                run.listBytes());
    }

    private int listBytes() {
        MembershipMessage list =
                new MembershipMessage.MembersReply(
                        MemberUpdate.of(mMembers.get(0)), mDetector.members());
        return WireFormat.encode(list, Fleet.versions()).length;
    }

    /** Runs the ticks of a period, answers the own probe and receives one probe of a peer. */
    private Long period() {
        for (int i = 0; i < TICKS_PER_PERIOD; i++) {
            mNowNanos += TICK_NANOS;
            answer(mDetector.onTick(mNowNanos));
        }
        Member peer = mMembers.get(1 + (int) (mPeriods % (mMembers.size() - 1)));
        String self = mMembers.get(0).name();
        send(
                mDetector.onMessage(
                        mNowNanos,
                        new MembershipMessage.Probe(
                                MemberUpdate.of(peer), mPeriods, self, ImmutableList.of())));
        return mPeriods++;
    }

    private void answer(List<MembershipCommand> commands) {
        send(commands);
        for (MembershipCommand command : commands) {
            if (command instanceof MembershipCommand.Send send
                    && send.message() instanceof MembershipMessage.Probe probe) {
                MemberUpdate target = mDetector.find(probe.target()).orElseThrow();
                send(
                        mDetector.onMessage(
                                mNowNanos,
                                new MembershipMessage.ProbeAck(
                                        target,
                                        probe.sequence(),
                                        mMembers.size() - 1,
                                        ImmutableList.of())));
            }
        }
    }

    private void send(List<MembershipCommand> commands) {
        for (MembershipCommand command : commands) {
            if (command instanceof MembershipCommand.Send send) {
                mSentBytes += WireFormat.encode(send.message(), Fleet.versions()).length;
            }
        }
    }
}
