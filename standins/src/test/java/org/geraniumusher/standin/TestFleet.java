package org.geraniumusher.standin;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.backend.BackendProtocol;
import org.geraniumusher.daemon.Daemon;
import org.geraniumusher.daemon.Limits;
import org.geraniumusher.daemon.Settings;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.BackendServer;
import org.geraniumusher.model.ConfigObject;
import org.geraniumusher.model.DataCentre;
import org.geraniumusher.model.KeySource;
import org.geraniumusher.model.Labels;
import org.geraniumusher.model.Route;
import org.geraniumusher.model.Selector;
import org.geraniumusher.model.Service;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;
import org.geraniumusher.operator.Replies;
import org.geraniumusher.platform.Json;
import org.geraniumusher.standin.backend.BackendBehaviour;
import org.geraniumusher.standin.backend.BackendStandIn;
import org.geraniumusher.standin.platform.PlatformServer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Runs the platform, backend servers and daemons of one test in this process, over loopback
 * sockets. The keyed service is {@code register} below {@code /clefts}, the unkeyed one {@code
 * ledger} below {@code /ledger}.
 */
public final class TestFleet implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final ImmutableList<String> DATA_CENTRES =
            ImmutableList.of("latgale-a", "latgale-b", "latgale-c");

    /** Leaves the cores to the daemons between two looks at a condition. */
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private static final Set<Integer> USED_PORTS = new HashSet<>();

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final HttpClient mClient = HttpClient.create(mGroup);
    private final PlatformServer mPlatform = PlatformServer.start(mGroup, HOST, 0);
    private final Map<String, BackendStandIn> mBackends = new LinkedHashMap<>();
    private final Map<String, EventLoopGroup> mBackendGroups = new LinkedHashMap<>();
    private final Set<String> mOutside;
    private final Map<String, BackendProcess> mProcesses = new LinkedHashMap<>();
    private final ExecutionLog mExecutions = new ExecutionLog();
    private final Map<String, BackendServer> mServers = new LinkedHashMap<>();
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final List<Settings> mSettings = new ArrayList<>();
    private long mIncarnation = 1;

    private TestFleet(Set<String> outside) {
        mOutside = ImmutableSet.copyOf(outside);
    }

    /** Starts a fleet and waits until both services answer through every daemon. */
    public static TestFleet start(int daemons, int backendsPerService) {
        return startWithProcesses(daemons, backendsPerService, ImmutableSet.of());
    }

    /** Starts a fleet in which the named backend servers run in processes of their own. */
    static TestFleet startWithProcesses(int daemons, int backendsPerService, Set<String> outside) {
        TestFleet fleet = new TestFleet(outside);
        fleet.writeObjects(backendsPerService);
        outside.forEach(name -> await(() -> fleet.answers(name)));
        for (int i = 0; i < daemons; i++) {
            fleet.mSettings.add(fleet.settings(i));
        }
        fleet.mSettings.forEach(settings -> fleet.mDaemons.add(Daemon.start(settings)));
        for (int i = 0; i < daemons; i++) {
            int daemon = i;
            await(() -> fleet.call(daemon, HttpCall.of("GET", "/clefts/a")).isOk());
            await(() -> fleet.call(daemon, HttpCall.of("GET", "/ledger/a")).isOk());
        }
        return fleet;
    }

    private boolean answers(String backend) {
        HttpCall call = HttpCall.of("GET", BackendProtocol.STATUS_PATH);
        return mClient.call(backendAddress(backend), call, CALL_TIMEOUT)
                .handle((reply, error) -> error == null && reply.isOk())
                .join();
    }

    /** Waits until a condition holds; fails after 20 s. */
    public static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("condition did not hold within 20 s");
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    /** Makes a call through a daemon; status 0 means that there was no reply. */
    public HttpReply call(int daemon, HttpCall call) {
        return mClient.call(callerAddress(daemon), call, CALL_TIMEOUT)
                .exceptionally(error -> HttpReply.of(0, error.toString()))
                .join();
    }

    /** Returns the client for control calls. */
    public HttpClient client() {
        return mClient;
    }

    /** Returns the platform. */
    public PlatformServer platform() {
        return mPlatform;
    }

    /** Returns a running backend server. */
    public BackendStandIn backend(String name) {
        return mBackends.get(name);
    }

    /** Returns the configuration object of a backend server as the fleet wrote it first. */
    public BackendServer server(String name) {
        return mServers.get(name);
    }

    /** Returns the names of the backend servers. */
    public ImmutableList<String> backendNames() {
        return ImmutableList.copyOf(mServers.keySet());
    }

    /** Stops a backend server and closes its sockets. */
    public void stopBackend(String name) {
        mBackends.remove(name).close();
        closeGroup(mBackendGroups.remove(name));
    }

    /** Returns a backend server that runs in a process of its own. */
    BackendProcess process(String name) {
        return mProcesses.get(name);
    }

    /** Returns the address of a backend server. */
    Address backendAddress(String name) {
        return mServers.get(name).address();
    }

    /** Returns what the backend servers of this process have executed. */
    ExecutionLog executions() {
        return mExecutions;
    }

    /** Returns the stored state of the shard of the keyed service. */
    ShardState shard() {
        return Json.fromTree(
                mPlatform.store().find("shard-state", "register").orElseThrow().spec(),
                ShardState.class);
    }

    /** Returns the index of the daemon that coordinates the keyed service, by the store. */
    int coordinator() {
        String name = shard().coordinator();
        for (int i = 0; i < mSettings.size(); i++) {
            if (name.startsWith(mSettings.get(i).name())) {
                return i;
            }
        }
        throw new AssertionError("unknown coordinator: " + name);
    }

    /** Returns the number of slices that a backend server owns, by the store. */
    long slicesOf(String server) {
        return shard().slices().stream().filter(slice -> slice.owner().equals(server)).count();
    }

    /** Waits until every slice has an owner, no move is under way and the group is complete. */
    void awaitSettled() {
        await(() -> isSettled(shard()));
    }

    private boolean isSettled(ShardState state) {
        return state.standbys().size() == Math.min(2, mDaemons.size() - 1)
                && state.unfencedGroups().isEmpty()
                && state.slices().stream().allMatch(TestFleet::isSettled);
    }

    private static boolean isSettled(Slice slice) {
        return slice.hasOwner() && slice.previous().isEmpty() && slice.pending().isEmpty();
    }

    /** Starts a backend server again, as a new incarnation. */
    public void restartBackend(String name) {
        startBackend(mServers.get(name));
    }

    /** Returns a daemon. */
    public Daemon daemon(int index) {
        return mDaemons.get(index);
    }

    /** Starts a daemon again after it was closed. */
    public void restartDaemon(int index) {
        mDaemons.set(index, Daemon.start(mSettings.get(index)));
    }

    /** Returns the address for callers of a daemon. */
    public Address callerAddress(int daemon) {
        return mSettings.get(daemon).caller();
    }

    /** Returns the operator address of a daemon. */
    public Address operatorAddress(int daemon) {
        return mSettings.get(daemon).operator();
    }

    /** Makes a call at the operator port of a daemon; status 0 means that there was no reply. */
    HttpReply callOperator(int daemon, HttpCall call) {
        return mClient.call(operatorAddress(daemon), call, CALL_TIMEOUT)
                .exceptionally(error -> HttpReply.of(0, error.toString()))
                .join();
    }

    /** Reports whether a daemon holds another one alive or suspect. */
    boolean sees(int reporter, int daemon) {
        HttpReply reply = callOperator(reporter, HttpCall.of("GET", "/admin/daemons"));
        String name = mSettings.get(daemon).name();
        return Json.read(reply.text(), Replies.Daemons.class).daemons().stream()
                .anyMatch(member -> member.name().equals(name) && member.isLive());
    }

    /** Writes an object to the store, whatever its version. */
    public void write(ConfigObject object) {
        long version =
                mPlatform
                        .store()
                        .find(object.kind().path(), object.name())
                        .map(stored -> stored.version())
                        .orElse(0L);
        mPlatform
                .store()
                .put(object.kind().path(), object.name(), version, "test", Json.toTree(object));
    }

    /** Returns the sum of executions over all backend servers that run. */
    public long executed() {
        return mBackends.values().stream().mapToLong(b -> b.stats().executed()).sum();
    }

    @Override
    public void close() {
        mDaemons.forEach(Daemon::close);
        ImmutableList.copyOf(mBackends.keySet()).forEach(this::stopBackend);
        mProcesses.values().forEach(BackendProcess::close);
        mPlatform.close();
        closeGroup(mGroup);
    }

    private static void closeGroup(EventLoopGroup group) {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void writeObjects(int backendsPerService) {
        DATA_CENTRES.forEach(name -> write(new DataCentre(name, "latgale", Labels.of())));
        for (String service : ImmutableList.of("register", "ledger")) {
            boolean keyed = service.equals("register");
            write(new Service(service, null, Selector.of("app=" + service), keyed, 16));
            for (int i = 0; i < backendsPerService; i++) {
                BackendServer server =
                        new BackendServer(
                                service + "-" + i,
                                new Address(HOST, freePort()),
                                DATA_CENTRES.get(i % DATA_CENTRES.size()),
                                Labels.of("app", service),
                                6,
                                6,
                                0,
                                true);
                mServers.put(server.name(), server);
                startBackend(server);
                write(server);
            }
        }
        write(route("clefts", "/clefts", "register", KeySource.of("path:1")));
        write(route("ledger", "/ledger", "ledger", null));
    }

    /** Each server has its own event loop, so that its connections end with it. */
    private void startBackend(BackendServer server) {
        String name = server.name();
        if (mOutside.contains(name)) {
            mProcesses.put(name, BackendProcess.start(name, server.address()));
            return;
        }
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        BackendBehaviour behaviour = BackendBehaviour.ofDefaults().withServiceMicros(1_000);
        BackendStandIn standIn =
                BackendStandIn.start(group, server.address(), name, behaviour, mIncarnation++);
        standIn.setObserver(call -> mExecutions.add(name, call));
        mBackends.put(name, standIn);
        mBackendGroups.put(name, group);
    }

    private static Route route(String name, String prefix, String service, KeySource key) {
        return new Route(
                name, null, "*", prefix, ImmutableList.of(), service, key, null, 5_000, null, null);
    }

    private Settings settings(int index) {
        ImmutableList.Builder<Address> seeds = ImmutableList.builder();
        mSettings.forEach(other -> seeds.add(other.peer()));
        return Settings.builder()
                .name("entry-" + index)
                .place(DATA_CENTRES.get(index % DATA_CENTRES.size()), "latgale")
                .caller(new Address(HOST, freePort()))
                .forward(new Address(HOST, freePort()))
                .peer(new Address(HOST, freePort()))
                .operator(new Address(HOST, freePort()))
                .platform(mPlatform.address())
                .seeds(seeds.build())
                .limits(Limits.builder().build())
                .build();
    }

    private static synchronized int freePort() {
        for (int i = 0; i < 100; i++) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
                if (USED_PORTS.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            } catch (IOException e) {
                throw new IllegalStateException("no free port", e);
            }
        }
        throw new IllegalStateException("no free port");
    }
}
