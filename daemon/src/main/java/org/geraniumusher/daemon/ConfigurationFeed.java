package org.geraniumusher.daemon;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;

import org.geraniumusher.model.ConfigObject;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.Kind;
import org.geraniumusher.platform.Json;
import org.geraniumusher.platform.ReadResult;
import org.geraniumusher.platform.StoreWatch;
import org.geraniumusher.platform.StoredObject;
import org.geraniumusher.platform.WatchEvent;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Turns what the store holds into a configuration. A bad object is refused and the last good one
 * stays. Confined to the executor of the watch.
 */
final class ConfigurationFeed implements StoreWatch.Listener {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final Consumer<Configuration> mConsumer;
    private Configuration mConfiguration = Configuration.of();

    ConfigurationFeed(Consumer<Configuration> consumer) {
        mConsumer = checkNotNull(consumer);
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
            }
        } catch (IllegalArgumentException e) {
            LOG.atWarning().log(
                    "config: object refused, the last good one stays. kind=%s name=%s reason=%s",
                    object.kind(), object.name(), e.getMessage());
        }
    }

    private void publish() {
        mConsumer.accept(mConfiguration);
    }
}
