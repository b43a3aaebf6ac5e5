package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.http.HttpServer;
import org.geraniumusher.relay.Feeders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Guards against daemons that do not hear which copies are current, or hear what is not true. */
final class CopyNoticesTest {
    private static final long MILLI = 1_000_000L;

    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final FakeEventThread mThread = mFixture.thread();
    private final FakeStore mStore = mFixture.store();
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<HttpCall> mNotices = new LinkedBlockingQueue<>();
    private final HttpServer mPeer =
            HttpServer.bind(
                    mGroup,
                    "127.0.0.1",
                    0,
                    (call, responder) -> {
                        mNotices.add(call);
                        responder.reply(HttpReply.of(200, "{}"));
                    });
    private final DaemonContext mContext = mFixture.createContext("d");
    private final CoordinatorService mCoordinator = new CoordinatorService(mContext);
    private final CopyNotices mCopyNotices =
            new CopyNotices(
                    mContext,
                    mCoordinator,
                    HttpClient.create(mGroup),
                    new LimitPermits(
                            mContext,
                            mCoordinator,
                            mFixture.createUpstreams(mContext),
                            new ServerLimits(mContext.log(), mContext.metrics()),
                            null,
                            () -> 0,
                            () -> {}),
                    sender -> {});

    @BeforeEach
    void readStore() {
        mStore.put(StoreKind.CONFIGURATION, "main", FakeWireFormat.serverSpec(1, false));
        mContext.directory().start();
        mCopyNotices.setMembers(
                ImmutableList.of(
                        new Feeders.Member("d", "z", FakeWireFormat.ADDRESS, 0),
                        new Feeders.Member("peer", "z", mPeer.address(), 0)));
    }

    @AfterEach
    void close() {
        mPeer.close();
        mGroup.shutdownGracefully();
        mFixture.close();
    }

    private KindMirror mirror() {
        return mContext.directory().mirror(StoreKind.CONFIGURATION);
    }

    private void answerWatches() {
        mStore.answerWatches(new StoreResult.Changes(ImmutableList.of(), mirror().revision()));
    }

    private void becomeCoordinator() {
        mCoordinator.start();
        mThread.advance(1_000 * MILLI);
        assertThat(mCoordinator.isActing()).isTrue();
    }

    private JsonNode takeNotice() throws InterruptedException {
        HttpCall call = mNotices.poll(10, TimeUnit.SECONDS);
        assertThat(call).isNotNull();
        return DeflatedJson.decode(call);
    }

    private JsonNode noticeOfEqualCopies(long ageMillis) {
        return DeflatedJson.decode(
                HttpCall.of(
                        "POST",
                        CopyNotices.PATH,
                        String.format(
                                "{\"epoch\":%d,\"copies\":{\"CONFIGURATION\":[%d,%d,%d]}}",
                                mirror().version().epoch(),
                                mirror().revision(),
                                mirror().digest(),
                                ageMillis)));
    }

    /** The watches of the others wait for long and depend on it. */
    @Test
    void onConfirmed_coordinatorIsAnswered_tellsTheOthers() throws Exception {
        becomeCoordinator();

        answerWatches();
        mThread.advance(200 * MILLI);

        JsonNode copy = takeNotice().path("copies").path("CONFIGURATION");
        assertThat(copy.path(0).asLong()).isEqualTo(mirror().revision());
        assertThat(copy.path(1).asLong()).isEqualTo(mirror().digest());
    }

    /** Each of the others would tell all others. */
    @Test
    void onConfirmed_otherDaemonIsAnswered_tellsNobody() throws Exception {
        answerWatches();
        mThread.advance(1_000 * MILLI);

        assertThat(mNotices.poll(200, TimeUnit.MILLISECONDS)).isNull();
    }

    @Test
    void onNotice_copyIsEqual_ageIsThatOfThePeer() {
        mThread.advance(5_000 * MILLI);

        mCopyNotices.onNotice(noticeOfEqualCopies(300));

        assertThat(mirror().copyAgeNanos(mThread.now()).getAsLong()).isEqualTo(300 * MILLI);
    }

    /** Two daemons that vouch for each other would never ask the store. */
    @Test
    void onNotice_atTheCoordinator_isIgnored() {
        becomeCoordinator();
        mThread.advance(2_000 * MILLI);
        long age = mirror().copyAgeNanos(mThread.now()).getAsLong();

        mCopyNotices.onNotice(noticeOfEqualCopies(0));

        assertThat(mirror().copyAgeNanos(mThread.now()).getAsLong()).isEqualTo(age);
    }
}
