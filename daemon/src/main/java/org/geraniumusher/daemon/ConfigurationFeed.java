package org.geraniumusher.daemon;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;

import org.geraniumusher.model.ConfigObject;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.Kind;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.platform.Json;
import org.geraniumusher.platform.ReadResult;
import org.geraniumusher.platform.StoreWatch;
import org.geraniumusher.platform.StoredObject;
import org.geraniumusher.platform.WatchEvent;

import java.util.Optional;
import java.util.function.Predicate;

/**
 * Turns what the store holds into a configuration and shard states. A bad object is refused and the
 * last good one stays. Confined to the executor of the watch.
 */
final class ConfigurationFeed implements StoreWatch.Listener {
    /** Kind of the objects that hold the state of a shard. */
    static final String SHARD_KIND = "shard-state";

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final Predicate<Runnable> mRing;
    private final RequestDuty mRequests;
    private Configuration mConfiguration = Configuration.of();

    ConfigurationFeed(Predicate<Runnable> ring, RequestDuty requests) {
        mRing = checkNotNull(ring);
        mRequests = checkNotNull(requests);
    }

    @Override
    public void onSnapshot(ReadResult.Found snapshot) {
        snapshot.objects().stream()
                .sorted(java.util.Comparator.comparingLong(StoredObject::version))
                .forEach(this::onObject);
        publish();
    }

    @Override
    public void onEvent(WatchEvent event) {
        if (event.type() == WatchEvent.Type.PUT) {
            onObject(event.object());
        } else {
            Kind.ofPath(event.object().kind())
                    .ifPresent(
                            kind ->
                                    mConfiguration =
                                            mConfiguration.without(
                                                    event.version(), kind, event.object().name()));
        }
        publish();
    }

    private void onObject(StoredObject object) {
        try {
            Optional<Kind> kind = Kind.ofPath(object.kind());
            if (kind.isPresent() && object.version() > mConfiguration.version()) {
                ConfigObject value = Json.fromTree(object.spec(), kind.get().type());
                mConfiguration = mConfiguration.with(object.version(), value);
            } else if (object.kind().equals(SHARD_KIND)) {
                ShardState state = Json.fromTree(object.spec(), ShardState.class);
                mRing.test(() -> mRequests.decider().onShard(state));
            }
        } catch (IllegalArgumentException e) {
            LOG.atWarning().log(
                    "config: object refused, the last good one stays. kind=%s name=%s reason=%s",
                    object.kind(), object.name(), e.getMessage());
        }
    }

    private void publish() {
        Configuration configuration = mConfiguration;
        mRing.test(
                () ->
                        mRequests
                                .decider()
                                .onConfiguration(mRequests.clock().getAsLong(), configuration));
    }
}
