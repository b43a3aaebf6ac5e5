package org.geraniumusher.tool;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.burn.BurnReport;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.http.HttpServer;
import org.geraniumusher.http.Responder;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.operator.JsonReply;
import org.geraniumusher.operator.Leaving;
import org.geraniumusher.operator.MemberStatus;
import org.geraniumusher.operator.Replies;
import org.geraniumusher.operator.ServerStatus;
import org.geraniumusher.quarantine.Quarantine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListMap;

/** A fake daemon that serves the operator port for one keyed service, catalogue. Thread-safe. */
final class TestDaemon implements AutoCloseable {
    private static final Replies.RangeRow ALL_KEYS =
            new Replies.RangeRow("0", "65535", "bs-1", 2, "-", "-");

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpServer mServer = HttpServer.bind(mGroup, "127.0.0.1", 0, this::answer);
    private final Map<String, String> mDrains = new ConcurrentSkipListMap<>();
    private final Map<String, Replies.QuarantineRow> mQuarantines = new ConcurrentSkipListMap<>();

    /** Quarantines that are no longer in the store, which a lagging daemon still has in force. */
    private final Map<String, Replies.QuarantineRow> mReleased = new ConcurrentSkipListMap<>();

    private volatile Optional<ResultCode> mReleaseFailure = Optional.empty();
    private volatile int mRanges;
    private volatile boolean mLagging;
    private volatile BurnReport mBurn = new BurnReport(0, 1, 0, ImmutableList.of());

    Address address() {
        return mServer.address();
    }

    /** Sets the number of key ranges that drained servers still hold. */
    void setRanges(int ranges) {
        mRanges = ranges;
    }

    /** Sets whether the daemon reports that no change is in force yet. */
    void setLagging(boolean lagging) {
        mLagging = lagging;
    }

    void setBurn(BurnReport burn) {
        mBurn = burn;
    }

    Map<String, String> drains() {
        return mDrains;
    }

    /** Quarantines a request. */
    void quarantine(String request, long version) {
        mQuarantines.put(
                request,
                new Replies.QuarantineRow(
                        request,
                        Quarantine.State.REJECTED,
                        "catalogue",
                        "GET shop/item/7",
                        2,
                        List.of("bs-1@5", "bs-2@6"),
                        "2026-12-05T03:00:00Z",
                        41,
                        version));
    }

    /** Sets the result of each release, or lets releases succeed again. */
    void setReleaseFailure(Optional<ResultCode> code) {
        mReleaseFailure = code;
    }

    /** Returns the fingerprints of the requests that are quarantined in the store. */
    Set<String> quarantined() {
        return mQuarantines.keySet();
    }

    @Override
    public void close() {
        mServer.close();
        mGroup.shutdownGracefully();
    }

    private void answer(HttpCall call, Responder responder) {
        responder.reply(reply(call));
    }

    private HttpReply reply(HttpCall call) {
        return switch (call.path()) {
            case "/admin/owner" ->
                    JsonReply.ok(
                            new Replies.Owner(
                                    "catalogue", call.query("key").orElseThrow(), 7, ALL_KEYS));
            case "/admin/assignments" ->
                    JsonReply.ok(
                            new Replies.Assignments(
                                    "catalogue", 7, 3, "entry-1", List.of(ALL_KEYS)));
            case "/admin/daemons" -> JsonReply.ok(daemons(call.query("ages").isPresent()));
            case "/admin/drains" -> drains(call);
            case "/admin/quarantines" -> quarantines(call);
            case "/admin/burn" -> JsonReply.ok(mBurn);
            default -> JsonReply.error(ResultCode.NOT_FOUND, "no such path: " + call.path());
        };
    }

    private Replies.Daemons daemons(boolean withAges) {
        return new Replies.Daemons(
                "entry-1",
                List.of(
                        new MemberStatus(
                                "entry-1",
                                1,
                                MemberStatus.State.ALIVE,
                                "nadi-b",
                                9,
                                mLagging ? List.of() : List.copyOf(mDrains.keySet()),
                                quarantinesInForce(),
                                ImmutableMap.of("catalogue", 7L),
                                List.of("coordinator"),
                                List.of(
                                        new ServerStatus(
                                                "bs-1@5",
                                                "catalogue",
                                                Leaving.SAID,
                                                "",
                                                0,
                                                ServerStatus.NO_LIMIT),
                                        new ServerStatus(
                                                "bs-2@6",
                                                "orders",
                                                Leaving.NO,
                                                "2026-12-05T03:00:00.250Z",
                                                2.25,
                                                1.5)),
                                withAges
                                        ? ImmutableMap.of("configuration", 1_240L)
                                        : ImmutableMap.of())));
    }

    private Map<String, Long> quarantinesInForce() {
        Map<String, Replies.QuarantineRow> inForce = new HashMap<>(mQuarantines);
        if (mLagging) {
            inForce.putAll(mReleased);
        }
        return Maps.transformValues(inForce, Replies.QuarantineRow::version);
    }

    private HttpReply quarantines(HttpCall call) {
        if (call.method().equals("GET")) {
            return JsonReply.ok(new Replies.Quarantines(List.copyOf(mQuarantines.values())));
        }
        if (mReleaseFailure.isPresent()) {
            return JsonReply.error(mReleaseFailure.get(), "release failed");
        }
        String request = call.query("request").orElseThrow();
        Replies.QuarantineRow row = mQuarantines.remove(request);
        if (row == null) {
            return JsonReply.error(ResultCode.NOT_FOUND, "no quarantine " + request);
        }
        mReleased.put(request, row);
        return JsonReply.ok(new Replies.QuarantineEnded(request, row.version()));
    }

    private HttpReply drains(HttpCall call) {
        Optional<String> name = call.query("name");
        if (call.method().equals("GET")) {
            return JsonReply.ok(
                    new Replies.Drains(
                            mDrains.entrySet().stream()
                                    .map(
                                            e ->
                                                    new Replies.DrainRow(
                                                            e.getKey(),
                                                            e.getValue(),
                                                            8,
                                                            3,
                                                            mRanges))
                                    .toList()));
        }
        if (call.method().equals("POST")) {
            mDrains.put(name.orElseThrow(), call.query("selector").orElseThrow());
        } else if (mDrains.remove(name.orElseThrow()) == null) {
            return JsonReply.error(ResultCode.NOT_FOUND, "no drain " + name.get());
        }
        return JsonReply.ok(new Replies.DrainChanged(name.get(), 8));
    }
}
