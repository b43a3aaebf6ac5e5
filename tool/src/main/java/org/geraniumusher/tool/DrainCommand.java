package org.geraniumusher.tool;

import org.geraniumusher.model.BackendServer;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.Kind;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.model.Service;
import org.geraniumusher.operator.Replies;
import org.geraniumusher.platform.Json;
import org.geraniumusher.platform.StoredObject;
import org.geraniumusher.tool.InForceWait.Progress;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Takes a data centre or a backend server out of service or returns it, by label.
 *
 * <p>A drain is done when every live daemon has the change in force and no slice names a drained
 * server as its owner or as the previous owner, whose grant may still be valid. A return is done
 * when the change is in force; slices come back later, as load allows. Not thread-safe.
 */
final class DrainCommand {
    private final Context mContext;
    private final InForceWait mWait;
    private final Kind mKind;
    private final String mName;

    DrainCommand(Context context, Kind kind, String name) {
        mContext = context;
        mWait = new InForceWait(context);
        mKind = kind;
        mName = name;
    }

    /** Says what was reached. */
    record Done(String kind, String name, boolean serving, long version) {}

    Optional<Failure> drain(Duration timeout) {
        LabelChange change = LabelChange.set(Configuration.SERVING_LABEL, "false");
        return change(change)
                .then(object -> awaitEmpty(object, timeout))
                .map(object -> show(object, false))
                .findFailure();
    }

    Optional<Failure> comeBack(Duration timeout) {
        LabelChange change = LabelChange.remove(Configuration.SERVING_LABEL);
        return change(change)
                .then(object -> after(mWait.awaitVersion(object.version(), timeout), object))
                .map(object -> show(object, true))
                .findFailure();
    }

    private Result<StoredObject> change(LabelChange change) {
        return change.apply(mContext.objects(), mKind.path(), mName);
    }

    private Result<StoredObject> awaitEmpty(StoredObject object, Duration timeout) {
        return servers()
                .then(names -> keyedServices().then(s -> awaitEmpty(object, names, s, timeout)));
    }

    private Result<StoredObject> awaitEmpty(
            StoredObject object, Set<String> servers, List<String> services, Duration timeout) {
        return after(mWait.await(timeout, () -> poll(object.version(), servers, services)), object);
    }

    private Result<Progress> poll(long version, Set<String> servers, List<String> services) {
        return mWait.inForce(version)
                .map(InForceWait::toProgress)
                .then(
                        inForce ->
                                slicesAt(servers, services)
                                        .map(slices -> toProgress(inForce, slices)));
    }

    private static Progress toProgress(Progress inForce, int slices) {
        return new Progress(
                inForce.done() && slices == 0, slices + " slices left, " + inForce.line());
    }

    private Result<Integer> slicesAt(Set<String> servers, List<String> services) {
        Result<Integer> sum = Result.ok(0);
        for (String service : services) {
            sum = sum.then(count -> slicesAt(servers, service).map(more -> count + more));
        }
        return sum;
    }

    private Result<Integer> slicesAt(Set<String> servers, String service) {
        String uri = "/admin/assignments?service=" + ObjectClient.escape(service);
        Result<Replies.Assignments> reply = mContext.client().get(uri, Replies.Assignments.class);
        if (reply.findFailure().filter(f -> f.code() == ResultCode.NO_OWNER).isPresent()) {
            return Result.ok(0);
        }
        return reply.map(
                assignments ->
                        (int)
                                assignments.slices().stream()
                                        .filter(slice -> isHeldBy(slice, servers))
                                        .count());
    }

    private static boolean isHeldBy(Replies.SliceRow slice, Set<String> servers) {
        return servers.contains(slice.owner()) || servers.contains(slice.previous());
    }

    private Result<Set<String>> servers() {
        if (mKind == Kind.BACKEND_SERVER) {
            return Result.ok(Set.of(mName));
        }
        return mContext.objects().list(Kind.BACKEND_SERVER.path()).map(this::serversHere);
    }

    private Set<String> serversHere(List<StoredObject> objects) {
        Set<String> names = new HashSet<>();
        for (StoredObject object : objects) {
            BackendServer server = Json.fromTree(object.spec(), BackendServer.class);
            if (server.dataCentre().equals(mName)) {
                names.add(server.name());
            }
        }
        return names;
    }

    private Result<List<String>> keyedServices() {
        return mContext.objects()
                .list(Kind.SERVICE.path())
                .map(
                        objects ->
                                objects.stream()
                                        .map(o -> Json.fromTree(o.spec(), Service.class))
                                        .filter(Service::keyed)
                                        .map(Service::name)
                                        .toList());
    }

    private static Result<StoredObject> after(Optional<Failure> failure, StoredObject object) {
        return failure.isPresent() ? Result.failed(failure.get()) : Result.ok(object);
    }

    private StoredObject show(StoredObject object, boolean serving) {
        mContext.output()
                .result(
                        new Done(mKind.path(), mName, serving, object.version()),
                        () ->
                                String.format(
                                        "%s %s: %s, version %d%n",
                                        mKind.path(),
                                        mName,
                                        serving ? "returned to service" : "out of service",
                                        object.version()));
        return object;
    }
}
