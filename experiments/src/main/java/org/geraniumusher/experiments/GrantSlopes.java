package org.geraniumusher.experiments;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.ownership.AuthorityAck;
import org.geraniumusher.ownership.AuthorityRequest;
import org.geraniumusher.ownership.Grant;
import org.geraniumusher.ownership.GrantAck;
import org.geraniumusher.ownership.LiveMember;
import org.geraniumusher.ownership.MemberId;
import org.geraniumusher.ownership.OwnershipCommand;
import org.geraniumusher.ownership.ServerRole;
import org.geraniumusher.ownership.ShardMember;
import org.geraniumusher.ownership.VersionedState;
import org.geraniumusher.platform.Json;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** Measures a second of a shard's coordinator by the number of backend servers. */
public final class GrantSlopes {
    private static final int[] SERVERS = {20, 100, 400};
    private static final int TICKS_PER_SECOND = 40;
    private static final long TICK_NANOS = 25_000_000;
    private static final String SERVICE = "service-0";

    private final ShardMember mMember;
    private final Deque<OwnershipCommand> mCommands = new ArrayDeque<>();
    private long mNowNanos = 1_000_000_000;
    private long mSeconds;
    private long mPolls;
    private long mGrants;
    private Grant mLastGrant;

    private GrantSlopes(int servers, int slices) {
        ImmutableList.Builder<LiveMember> live = ImmutableList.builder();
        for (int i = 0; i < 3; i++) {
            live.add(new LiveMember(new MemberId("entry-" + i, 1), Fleet.dataCentre(i)));
        }
        ImmutableList.Builder<ServerRole> roles = ImmutableList.builder();
        for (int i = 0; i < servers; i++) {
            roles.add(new ServerRole("server-" + i, true, true));
        }
        ImmutableList<LiveMember> members = live.build();
        mMember = ShardMember.builder(SERVICE, members.get(0)).initialSlices(slices).build();
        mMember.onMembers(mNowNanos, members);
        mMember.onServersChanged(mNowNanos, roles.build());
        var state = Fleet.shard(SERVICE, slices, servers);
        mCommands.addAll(mMember.onReadState(mNowNanos, new VersionedState(7, state)));
    }

    /** Prints the table. */
    public static void main(String[] args) {
        System.out.println("### Coordinator of a shard\n");
        System.out.println(
                "| servers | slices | polls a second | grants a second | grant bytes (body)"
                        + " | grant JSON write µs | tick, exchange, grant: ms of processor a"
                        + " second |");
        System.out.println("|---|---|---|---|---|---|---|");
        for (int servers : SERVERS) {
            printRow(servers, Math.max(256, 4 * servers));
        }
        System.out.println();
    }

    private static void printRow(int servers, int slices) {
        GrantSlopes run = new GrantSlopes(servers, slices);
        Summary second = CpuMeter.micros(run::second);
        Grant grant = checkNotNull(run.mLastGrant, "no grant was sent");
        System.out.printf(
                "| %d | %d | %d | %d | %d | %s | %.2f (%.2f–%.2f) |%n",
                servers,
                slices,
                run.mPolls / run.mSeconds,
                run.mGrants / run.mSeconds,
                Json.write(grant).length(),
                CpuMeter.text(CpuMeter.micros(() -> Json.write(grant))),
                second.median() / 1_000,
                second.lowest() / 1_000,
                second.highest() / 1_000);
    }

    private Long second() {
        for (int i = 0; i < TICKS_PER_SECOND; i++) {
            mNowNanos += TICK_NANOS;
            mCommands.addAll(mMember.onTick(mNowNanos));
            while (!mCommands.isEmpty()) {
                carryOut(mCommands.poll());
            }
        }
        return mSeconds++;
    }

    private void carryOut(OwnershipCommand command) {
        if (command instanceof OwnershipCommand.SendAuthorityRequest send) {
            mCommands.addAll(mMember.onAuthorityAck(mNowNanos, ack(send.request())));
        } else if (command instanceof OwnershipCommand.PollServer poll) {
            mPolls++;
            mCommands.addAll(mMember.onServerStatus(mNowNanos, poll.server(), 1, mNowNanos));
        } else if (command instanceof OwnershipCommand.SendGrant send) {
            mGrants++;
            Grant grant = send.grant();
            mLastGrant = grant;
            GrantAck ack = new GrantAck(SERVICE, 1, grant.version(), grant.readingNanos());
            mCommands.addAll(mMember.onGrantAck(mNowNanos, send.server(), ack));
        }
    }

    private static AuthorityAck ack(AuthorityRequest request) {
        return new AuthorityAck(
                SERVICE,
                request.to(),
                request.from(),
                request.version(),
                request.sentNanos(),
                true,
                request.version(),
                Optional.empty());
    }
}
