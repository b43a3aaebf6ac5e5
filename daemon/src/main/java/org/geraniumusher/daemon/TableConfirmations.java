package org.geraniumusher.daemon;

import org.geraniumusher.membership.Member;
import org.geraniumusher.model.BackendServer;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.Service;
import org.geraniumusher.ownership.MemberId;
import org.geraniumusher.ownership.ShardMember;
import org.geraniumusher.ownership.VersionedState;
import org.geraniumusher.peer.AuthorityMessage.TableConfirm;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Keeps the table leases of services whose backend servers do not all check grants, by asking the
 * members of the shard's group. Confined to the thread of the duty control.
 */
final class TableConfirmations {
    /** A lease bridges the loss of two questions in a row. */
    private static final long PERIOD_NANOS = Duration.ofMillis(300).toNanos();

    private static final long LEASE_NANOS = Duration.ofMillis(1_000).toNanos();

    private final Ports mPorts;
    private final Set<String> mServices = new HashSet<>();
    private long mNextNanos;

    TableConfirmations(Ports ports) {
        mPorts = ports;
    }

    void onConfiguration(Configuration configuration) {
        mServices.clear();
        for (Service service : configuration.services()) {
            List<BackendServer> servers = configuration.serversOf(service);
            if (service.keyed() && servers.stream().anyMatch(server -> !server.fenced())) {
                mServices.add(service.name());
            }
        }
    }

    /** Asks for confirmations when they are due. */
    void onTick(long nowNanos, Map<String, ShardMember> members) {
        if (mServices.isEmpty() || nowNanos - mNextNanos < 0) {
            return;
        }
        mNextNanos = nowNanos + PERIOD_NANOS;
        for (String service : mServices) {
            Optional<VersionedState> known =
                    Optional.ofNullable(members.get(service)).flatMap(ShardMember::known);
            known.ifPresent(state -> ask(nowNanos, service, members.get(service), state));
        }
    }

    /** Answers a question, or takes the lease that an answer gives. */
    void onMessage(
            long nowNanos, Member from, TableConfirm message, Map<String, ShardMember> members) {
        if (message.request()) {
            boolean confirmed = confirms(nowNanos, message, members.get(message.service()));
            mPorts.send(
                    from,
                    new TableConfirm(
                            message.service(),
                            message.version(),
                            message.requestId(),
                            false,
                            confirmed));
        } else if (message.confirmed()) {
            lease(message.service(), message.version(), message.requestId());
        }
    }

    private void ask(long nowNanos, String service, ShardMember member, VersionedState known) {
        if (member.hasAuthority(nowNanos)) {
            lease(service, known.version(), nowNanos);
            return;
        }
        TableConfirm question = new TableConfirm(service, known.version(), nowNanos, true, false);
        for (String id : known.state().group()) {
            mPorts.find(MemberId.parse(id)).ifPresent(to -> mPorts.send(to, question));
        }
    }

    private static boolean confirms(long nowNanos, TableConfirm question, ShardMember member) {
        return member != null
                && member.hasAuthority(nowNanos)
                && member.known().get().version() == question.version();
    }

    /** The lease counts from the time of the question, which the message carries. */
    private void lease(String service, long version, long askedNanos) {
        mPorts.onLease(service, version, askedNanos + LEASE_NANOS);
    }

    /** Connects the confirmations with the rest of the daemon. */
    record Ports(
            Function<MemberId, Optional<Member>> finder,
            java.util.function.BiConsumer<Member, TableConfirm> sender,
            ControlDuty.Consumers consumers) {
        Optional<Member> find(MemberId id) {
            return finder.apply(id);
        }

        void send(Member to, TableConfirm message) {
            sender.accept(to, message);
        }

        void onLease(String service, long version, long untilNanos) {
            consumers.onTableLease(service, version, untilNanos);
        }
    }
}
