package org.geraniumusher.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.burn.BurnRates;
import org.geraniumusher.burn.BurnSummary;
import org.geraniumusher.membership.Member;
import org.geraniumusher.membership.Rendezvous;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.KeySource;
import org.geraniumusher.model.Route;
import org.geraniumusher.operator.ServiceLevels;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Guards against counts that are lost with a daemon, and against sending them too often. */
class BurnExchangeTest {
    private static final long NOW_MILLIS = 9_000_000;

    private final ServiceLevels mLevels =
            new ServiceLevels("a", 1, new MetricRegistry(), () -> 0, () -> NOW_MILLIS);
    private final List<String> mSent = new ArrayList<>();
    private final BurnExchange mExchange =
            new BurnExchange(
                    member("a"), mLevels, (to, s) -> mSent.add(to.name() + " " + s.source()));

    @BeforeEach
    void countRequest() {
        mLevels.setObjectives(Daemon.objectives(Configuration.of().with(1, route())));
        mLevels.ended("orders", true, 1);
    }

    @Test
    void onTick_collectorsStay_sendsOncePerPeriod() {
        mExchange.onMembers(0, Rendezvous.of(ImmutableList.of(member("a"), member("b"))));
        mExchange.onTick(BurnExchange.SETTLE_NANOS - 1);
        assertThat(mSent).isEmpty();
        mExchange.onTick(BurnExchange.SETTLE_NANOS);
        mExchange.onTick(BurnExchange.PERIOD_NANOS);
        assertThat(mSent).containsExactly("b a");
        mExchange.onTick(BurnExchange.SETTLE_NANOS + BurnExchange.PERIOD_NANOS);
        assertThat(mSent).containsExactly("b a", "b a");
    }

    @Test
    void onTick_newCollector_getsTheCountsOfEndedRuns() {
        mLevels.accept(summaryOf("gone"));
        mLevels.accept(summaryOf("b"));
        mExchange.onMembers(0, Rendezvous.of(ImmutableList.of(member("a"), member("b"))));
        mExchange.onTick(BurnExchange.SETTLE_NANOS);
        assertThat(mSent).containsExactly("b a", "b gone");
    }

    @Test
    void onStop_otherDaemonsLive_handsOverEverything() {
        mLevels.accept(summaryOf("gone"));
        mExchange.onMembers(0, Rendezvous.of(ImmutableList.of(member("b"), member("c"))));
        mExchange.onStop();
        assertThat(mSent).containsExactly("b a", "c a", "b gone", "c gone");
    }

    private static BurnSummary summaryOf(String daemon) {
        BurnRates rates = BurnRates.create(daemon, 1);
        rates.record("orders", 1, 1, NOW_MILLIS);
        return rates.summary(NOW_MILLIS);
    }

    private static Route route() {
        return new Route(
                "orders",
                null,
                "*",
                "/",
                ImmutableList.of(),
                "catalogue",
                KeySource.of("path:1"),
                null,
                5_000,
                null,
                new Route.Objective(0.9, 100));
    }

    private static Member member(String name) {
        Address address = new Address("127.0.0.1", 9);
        return new Member(name, 1, "nadi-b", address, address, address);
    }
}
