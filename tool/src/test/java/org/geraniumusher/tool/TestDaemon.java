package org.geraniumusher.tool;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.burn.BurnReport;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.Kind;
import org.geraniumusher.model.Labels;
import org.geraniumusher.model.Selector;
import org.geraniumusher.model.Service;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.operator.DaemonView;
import org.geraniumusher.operator.MemberStatus;
import org.geraniumusher.operator.ObjectWriter;
import org.geraniumusher.operator.OperatorServer;
import org.geraniumusher.platform.Json;
import org.geraniumusher.platform.ReadResult;
import org.geraniumusher.platform.StoredObject;
import org.geraniumusher.platform.WriteResult;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Serves the operator port over objects in memory, with one keyed service "catalogue". A race is
 * run once, just before a conditional write, as another operator's change would be.
 */
final class TestDaemon implements AutoCloseable, DaemonView, ObjectWriter {
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, StoredObject> mObjects = Collections.synchronizedMap(new TreeMap<>());
    private final Deque<Runnable> mRaces = new ArrayDeque<>();
    private final OperatorServer mServer;
    private volatile String mOwner = "bs-1";
    private volatile long mVersionInForce;
    private volatile BurnReport mBurn = new BurnReport(0, 1, 0, ImmutableList.of());
    private long mVersion;

    TestDaemon() {
        mServer =
                OperatorServer.builder()
                        .name("entry-1")
                        .view(this)
                        .writer(this)
                        .metrics(new MetricRegistry())
                        .startDrain(() -> {})
                        .bind(mGroup, "127.0.0.1", 0);
    }

    Address address() {
        return mServer.address();
    }

    /** Writes an object without any condition. */
    synchronized void write(String kind, String name, String writer, String spec) {
        mVersion++;
        mObjects.put(
                kind + "/" + name,
                new StoredObject(kind, name, mVersion, writer, Json.readTree(spec)));
    }

    StoredObject object(String kind, String name) {
        return mObjects.get(kind + "/" + name);
    }

    synchronized void addRace(Runnable race) {
        mRaces.add(race);
    }

    void setOwner(String owner) {
        mOwner = owner;
    }

    void setVersionInForce(long version) {
        mVersionInForce = version;
    }

    void setBurn(BurnReport burn) {
        mBurn = burn;
    }

    @Override
    public void close() {
        mServer.close();
        mGroup.shutdownGracefully();
    }

    @Override
    public Readiness readiness() {
        return Readiness.READY;
    }

    @Override
    public Configuration configuration() {
        return Configuration.of()
                .with(1, new Service("catalogue", Labels.of(), Selector.of("a"), Boolean.TRUE, 1));
    }

    @Override
    public Optional<ShardSnapshot> shard(String service) {
        ShardState empty = ShardState.create(service, 1);
        return Optional.of(
                new ShardSnapshot(
                        7,
                        empty.withSlices(
                                2, ImmutableList.of(empty.slices().get(0).assignedTo(mOwner, 2)))));
    }

    @Override
    public ImmutableList<MemberStatus> members() {
        return ImmutableList.of(
                new MemberStatus(
                        "entry-1",
                        1,
                        MemberStatus.State.ALIVE,
                        "nadi-b",
                        mVersionInForce,
                        ImmutableList.of(),
                        ImmutableMap.of("catalogue", 7L),
                        ImmutableList.of("feeder")));
    }

    @Override
    public void awaitInForce(long version) {}

    @Override
    public BurnReport burn() {
        return mBurn;
    }

    @Override
    public CompletableFuture<ReadResult> list(Kind kind) {
        return found(mObjects.values().stream().filter(o -> o.kind().equals(kind.path())).toList());
    }

    @Override
    public CompletableFuture<ReadResult> get(Kind kind, String name) {
        StoredObject object = object(kind.path(), name);
        return found(object == null ? ImmutableList.of() : ImmutableList.of(object));
    }

    @Override
    public synchronized CompletableFuture<WriteResult> put(StoredObject object) {
        Optional<WriteResult> conflict = check(object.kind(), object.name(), object.version());
        if (conflict.isEmpty()) {
            write(object.kind(), object.name(), object.writer(), object.spec().toString());
        }
        return CompletableFuture.completedFuture(
                conflict.orElseGet(() -> new WriteResult.Written(mVersion)));
    }

    @Override
    public synchronized CompletableFuture<WriteResult> delete(
            Kind kind, String name, long expectedVersion, String writer) {
        Optional<WriteResult> conflict = check(kind.path(), name, expectedVersion);
        if (conflict.isEmpty()) {
            mObjects.remove(kind.path() + "/" + name);
            mVersion++;
        }
        return CompletableFuture.completedFuture(
                conflict.orElseGet(() -> new WriteResult.Written(mVersion)));
    }

    private Optional<WriteResult> check(String kind, String name, long expected) {
        if (!mRaces.isEmpty()) {
            mRaces.remove().run();
        }
        StoredObject current = object(kind, name);
        return (current == null ? 0 : current.version()) == expected
                ? Optional.empty()
                : Optional.of(new WriteResult.Conflict(Optional.ofNullable(current)));
    }

    private CompletableFuture<ReadResult> found(java.util.List<StoredObject> objects) {
        return CompletableFuture.completedFuture(new ReadResult.Found(1, objects));
    }
}
