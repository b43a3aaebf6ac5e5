package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.keyrange.CoordinatorRecord;
import org.geraniumusher.keyrange.HoldReport;
import org.geraniumusher.keyrange.KeyRange;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.StoreVersion;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Guards against reports of holds that are used for a term which they do not precede. */
final class HoldReportsTest {
    private static final Address SELF = Address.of("127.0.0.1:1");
    private static final Address FORMER = Address.of("127.0.0.1:2");
    private static final String SERVICE = "s";
    private static final HoldReport REPORT =
            new HoldReport(
                    ImmutableList.of(
                            new HoldReport.Entry(new KeyRange(3, 9), "a", 5_000_000, 2_000_000)));

    private final List<Consumer<ImmutableMap<String, HoldReport>>> mAsked = new ArrayList<>();
    private final HoldReports mReports = new HoldReports(SELF);
    private int mNotified;

    HoldReportsTest() {
        mReports.setInquiry((peer, incarnation, onReports) -> mAsked.add(onReports));
    }

    private static Optional<CoordinatorRecord> record(String daemon, String peer) {
        return Optional.of(new CoordinatorRecord(daemon, 7, peer, new StoreVersion(0, 5)));
    }

    private void beginTerm(Optional<CoordinatorRecord> former) {
        mReports.beginTerm(former, 0, () -> mNotified++);
    }

    private void answer(int index) {
        mAsked.get(index).accept(ImmutableMap.of(SERVICE, REPORT));
    }

    @Test
    void beginTerm_formerCoordinatorAnswers_termWaitsForIt() {
        beginTerm(record("b", FORMER.toString()));
        assertThat(mReports.isPending(0)).isTrue();

        answer(0);

        assertThat(mReports.isPending(0)).isFalse();
        assertThat(mReports.former(SERVICE)).hasValue(REPORT);
        assertThat(mNotified).isEqualTo(1);
    }

    /** The term may have begun without it. */
    @Test
    void isPending_noAnswerInTime_lateAnswerIsIgnored() {
        beginTerm(record("b", FORMER.toString()));
        assertThat(mReports.isPending(HoldReports.MAX_WAIT_NANOS)).isFalse();

        answer(0);

        assertThat(mReports.former(SERVICE)).isEmpty();
        assertThat(mNotified).isEqualTo(0);
    }

    @Test
    void beginTerm_answerIsForAnEarlierTerm_isIgnored() {
        beginTerm(record("b", FORMER.toString()));
        beginTerm(record("c", FORMER.toString()));

        answer(0);

        assertThat(mReports.former(SERVICE)).isEmpty();
        assertThat(mReports.isPending(0)).isTrue();
    }

    /** A later term of this daemon follows that of another one. */
    @Test
    void forgetFormer_termHasEnded_itsReportIsNotUsedAgain() {
        beginTerm(record("b", FORMER.toString()));
        answer(0);

        mReports.forgetFormer();

        assertThat(mReports.former(SERVICE)).isEmpty();
    }

    /** An earlier run of this daemon has left no report, and another writer no address. */
    @Test
    void beginTerm_nobodyToAsk_termDoesNotWait() {
        beginTerm(record("a", SELF.toString()));
        beginTerm(record("b", "nowhere"));
        beginTerm(Optional.empty());

        assertThat(mAsked).isEmpty();
        assertThat(mReports.isPending(0)).isFalse();
    }

    /** Another daemon may have coordinated between two terms of this one. */
    @Test
    void beginTerm_reportOfItsOwnEarlierTerm_isForgotten() {
        mReports.setOwn(ImmutableMap.of(SERVICE, REPORT));
        assertThat(mReports.own()).containsEntry(SERVICE, REPORT);

        beginTerm(Optional.empty());

        assertThat(mReports.own()).isEmpty();
    }

    @Test
    void decode_encoded_hasTheTimesThatWereLeftAndNoHoldThatHasRunOut() {
        long now = 2_000_000;
        HoldReport report =
                new HoldReport(
                        ImmutableList.of(
                                REPORT.entries().get(0),
                                new HoldReport.Entry(new KeyRange(0, 2), "b", now, now)));

        HoldReport decoded =
                HoldReportCodec.decode(
                                HoldReportCodec.encode(ImmutableMap.of(SERVICE, report), now), 0)
                        .get(SERVICE);

        assertThat(decoded.entries())
                .containsExactly(
                        new HoldReport.Entry(
                                new KeyRange(3, 9), "a", (long) (4_000_000 * 1.03), 0));
    }
}
