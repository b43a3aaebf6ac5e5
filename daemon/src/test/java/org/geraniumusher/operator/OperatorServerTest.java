package org.geraniumusher.operator;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.operator.DaemonView.Readiness;
import org.geraniumusher.platform.Json;
import org.geraniumusher.platform.StoredObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Guards against an operator port that sends traffic to a daemon that cannot serve, overwrites
 * another operator's change, or answers errors that a program cannot read.
 */
class OperatorServerTest {
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient mClient = HttpClient.create(mGroup);
    private final FakeDaemonView mView = new FakeDaemonView();
    private final FakeObjectWriter mWriter = new FakeObjectWriter();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final AtomicInteger mDrains = new AtomicInteger();
    private OperatorServer mServer;

    @BeforeEach
    void bind() {
        mServer =
                OperatorServer.builder()
                        .name("entry-1")
                        .view(mView)
                        .writer(mWriter)
                        .metrics(mMetrics)
                        .startDrain(mDrains::incrementAndGet)
                        .bind(mGroup, "127.0.0.1", 0);
    }

    @AfterEach
    void close() {
        mServer.close();
        mGroup.shutdownGracefully();
    }

    @Test
    void readyz_eachState_onlyReadyIs200() {
        assertThat(get("/readyz").status()).isEqualTo(200);
        mView.setReadiness(Readiness.NO_CONFIGURATION);
        assertThat(get("/readyz").status()).isEqualTo(503);
        mView.setReadiness(Readiness.DRAINING);
        assertThat(get("/readyz").status()).isEqualTo(503);
        assertThat(get("/healthz").status()).isEqualTo(200);
    }

    @Test
    void put_versionOfAnother_conflictsWithTheCurrentObject() {
        StoredObject first = read(put(0, "maria", "viti-west"), StoredObject.class);
        assertThat(put(first.version(), "tomasi", "viti-west").status()).isEqualTo(200);

        HttpReply reply = put(first.version(), "maria", "viti-east");

        ErrorReply error = read(reply, ErrorReply.class);
        assertThat(reply.status()).isEqualTo(409);
        assertThat(error.toResultCode()).hasValue(ResultCode.CONFLICT);
        assertThat(error.outcome()).isEqualTo("not-run");
        assertThat(error.current().writer()).isEqualTo("tomasi");
    }

    @Test
    void put_invalidObject_namesTheReason() {
        assertThat(error(put(0, "maria", "")).message()).contains("without a region");
        assertThat(error(put(0, "", "viti-west")).message()).contains("without a writer");
        assertThat(error(putSpec("service", "catalogue", catalogue(3))).message())
                .contains("fixed at 2");
        assertThat(error(putSpec("data-centre", "nadi-b", "{}")).message())
                .contains("data-centre without name");
        assertThat(error(put(0, "", "viti-west")).code())
                .isEqualTo(ResultCode.INVALID_OBJECT.number());
        assertThat(error(putSpec("data-centre", "other", dataCentre("viti-west"))).message())
                .contains("name nadi-b in the spec of other");
        assertThat(error(putSpec("data-centre", "a?b", dataCentre("west"))).message())
                .contains("bad name: a?b");
        assertThat(get("/admin/objects?kind=data-centre&name=a%3Fb").status()).isEqualTo(400);
    }

    @Test
    void objects_getListAndDelete_followTheVersion() {
        StoredObject object = read(put(0, "maria", "viti-west"), StoredObject.class);
        String one = "/admin/objects?kind=data-centre&name=nadi-b";

        assertThat(read(get(one), StoredObject.class)).isEqualTo(object);
        assertThat(read(get("/admin/objects"), Replies.Objects.class).objects()).hasSize(1);
        assertThat(call("DELETE", one + "&version=1&writer=maria").status()).isEqualTo(409);
        String current = one + "&writer=maria&version=" + object.version();
        assertThat(call("DELETE", current).status()).isEqualTo(200);
        assertThat(error(get(one)).toResultCode()).hasValue(ResultCode.NOT_FOUND);
    }

    @Test
    void objects_storeDown_saysThatTheOutcomeIsUnknown() {
        mWriter.setDown();
        assertThat(error(put(0, "maria", "viti-west")).outcome()).isEqualTo("unknown");
        assertThat(get("/admin/objects").status()).isEqualTo(503);
    }

    @Test
    void owner_anyKey_showsOwnerEpochAndVersion() {
        Replies.Owner owner =
                read(get("/admin/owner?service=catalogue&key=masi"), Replies.Owner.class);

        boolean inFirstHalf = Character.digit(owner.hash().charAt(0), 16) < 8;
        assertThat(owner.slice().owner()).isEqualTo(inFirstHalf ? "bs-1" : "bs-2");
        assertThat(owner.slice().epoch()).isEqualTo(inFirstHalf ? 3 : 4);
        assertThat(owner.version()).isEqualTo(17);
    }

    @Test
    void owner_wrongService_saysWhy() {
        assertThat(error(get("/admin/owner?service=x&key=k")).message()).contains("no service x");
        assertThat(error(get("/admin/owner?service=firing&key=k")).message()).contains("not keyed");
        assertThat(error(get("/admin/owner?service=catalogue")).message()).contains("key");
    }

    @Test
    void inForce_suspectDaemonBehind_isMissing() {
        Replies.InForce reply = read(get("/admin/in-force?version=9"), Replies.InForce.class);

        assertThat(reply.everywhere()).isFalse();
        assertThat(reply.have()).containsExactly("entry-1");
        assertThat(reply.lack()).containsExactly("entry-2");
    }

    @Test
    void assignmentsDaemonsBurn_areReadableRecords() {
        String path = "/admin/assignments?service=catalogue";
        assertThat(read(get(path), Replies.Assignments.class).slices()).hasSize(2);
        assertThat(read(get("/admin/daemons"), Replies.Daemons.class).daemons())
                .isEqualTo(mView.members());
        assertThat(Json.readTree(get("/admin/burn").text()).get("sources").asInt()).isEqualTo(1);
    }

    @Test
    void drainSelf_onlyPost_starts() {
        assertThat(get("/admin/drain-self").status()).isEqualTo(400);
        assertThat(mDrains.get()).isEqualTo(0);
        assertThat(call("POST", "/admin/drain-self").status()).isEqualTo(202);
        assertThat(mDrains.get()).isEqualTo(1);
    }

    @Test
    void metrics_counter_isOneLine() {
        mMetrics.counter("ownership.undecided").inc(3);
        mMetrics.counter("peer.sent_bytes").inc(4);
        assertThat(get("/metrics").text())
                .isEqualTo("ownership.undecided count 3\npeer.sent_bytes bytes 4\n");
    }

    private HttpReply put(long version, String writer, String region) {
        return send(
                new StoredObject(
                        "data-centre",
                        "nadi-b",
                        version,
                        writer,
                        Json.readTree(dataCentre(region))));
    }

    private HttpReply putSpec(String kind, String name, String spec) {
        return send(new StoredObject(kind, name, 0, "maria", Json.readTree(spec)));
    }

    private HttpReply send(StoredObject object) {
        return exchange(HttpCall.of("PUT", "/admin/objects", Json.write(object)));
    }

    private static String dataCentre(String region) {
        return "{\"name\":\"nadi-b\",\"region\":\"" + region + "\"}";
    }

    private static String catalogue(int slices) {
        return "{\"name\":\"catalogue\",\"selector\":\"a\",\"keyed\":true,\"slices\":"
                + slices
                + "}";
    }

    private HttpReply get(String uri) {
        return call("GET", uri);
    }

    private HttpReply call(String method, String uri) {
        return exchange(HttpCall.of(method, uri));
    }

    private HttpReply exchange(HttpCall call) {
        return mClient.call(mServer.address(), call, Duration.ofSeconds(10)).join();
    }

    private static ErrorReply error(HttpReply reply) {
        return read(reply, ErrorReply.class);
    }

    private static <T> T read(HttpReply reply, Class<T> type) {
        return Json.read(reply.text(), type);
    }
}
