package org.geraniumusher.operator;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.burn.BurnReport;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.Labels;
import org.geraniumusher.model.Selector;
import org.geraniumusher.model.Service;
import org.geraniumusher.model.ShardState;

import java.util.Optional;

/** Shows one keyed service "catalogue", one unkeyed service "firing" and three daemons. */
final class FakeDaemonView implements DaemonView {
    private volatile Readiness mReadiness = Readiness.READY;

    void setReadiness(Readiness readiness) {
        mReadiness = readiness;
    }

    @Override
    public Readiness readiness() {
        return mReadiness;
    }

    @Override
    public Configuration configuration() {
        return Configuration.of()
                .with(1, service("catalogue", true))
                .with(2, service("firing", false));
    }

    @Override
    public Optional<ShardSnapshot> shard(String service) {
        ShardState empty = ShardState.create("catalogue", 2);
        ImmutableList<org.geraniumusher.model.Slice> slices =
                ImmutableList.of(
                        empty.slices().get(0).assignedTo("bs-1", 3),
                        empty.slices().get(1).assignedTo("bs-2", 4).movingTo("bs-1"));
        return Optional.of(new ShardSnapshot(17, empty.withSlices(4, slices)));
    }

    @Override
    public ImmutableList<MemberStatus> members() {
        return ImmutableList.of(
                member("entry-1", MemberStatus.State.ALIVE, 9),
                member("entry-2", MemberStatus.State.SUSPECT, 8),
                member("entry-3", MemberStatus.State.DEAD, 2));
    }

    @Override
    public void awaitInForce(long version) {}

    @Override
    public BurnReport burn() {
        return new BurnReport(5, 1, 0, ImmutableList.of());
    }

    private static Service service(String name, boolean keyed) {
        return new Service(name, Labels.of(), Selector.of("app=" + name), keyed, 2);
    }

    private static MemberStatus member(String name, MemberStatus.State state, long version) {
        return new MemberStatus(
                name,
                1,
                state,
                "nadi-b",
                version,
                ImmutableList.of(),
                ImmutableMap.of("catalogue", 17L),
                ImmutableList.of("relay"));
    }
}
