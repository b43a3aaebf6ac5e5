package org.geraniumusher.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;

import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a list and a watch of the object API open, and begins again after each loss.
 *
 * <p>The listener sees snapshots and events in the order of the store's revisions and from one
 * thread, that of the duty platform. Confined to that thread, but for {@link #start} and {@link
 * #close}.
 */
public final class StoreWatch implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int GONE = 410;
    private static final int LOG_INTERVAL_SECONDS = 30;
    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 2_000;

    private final ObjectApi mApi;
    private final EventExecutor mExecutor =
            new DefaultEventExecutor(new DefaultThreadFactory("platform", true));
    private final Listener mListener;
    private long mRevision = -1;
    private long mRetryMillis = MIN_RETRY_MILLIS;
    private boolean mClosed;
    private AutoCloseable mWatch = () -> {};

    private StoreWatch(ObjectApi api, Listener listener) {
        mApi = checkNotNull(api);
        mListener = checkNotNull(listener);
    }

    /** Returns a watch that is not started. */
    public static StoreWatch create(ObjectApi api, Listener listener) {
        return new StoreWatch(api, listener);
    }

    /** Starts to list and watch. */
    public void start() {
        mExecutor.execute(this::open);
    }

    @Override
    public void close() {
        mExecutor.execute(
                () -> {
                    mClosed = true;
                    closeWatch();
                });
        mExecutor.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void open() {
        if (mClosed) {
            return;
        }
        if (mRevision < 0) {
            mApi.listAll().thenAcceptAsync(this::onList, mExecutor);
        } else {
            watch();
        }
    }

    private void onList(ReadResult result) {
        if (result instanceof ReadResult.Found found) {
            mRevision = found.version();
            mListener.onSnapshot(found);
            watch();
        } else {
            LOG.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "platform: list failed, trying again. reason=%s", result);
            retryLater();
        }
    }

    private void watch() {
        mWatch =
                mApi.watch(
                        mRevision,
                        event -> handOver(() -> onEvent(event)),
                        status -> handOver(() -> onClosed(status)));
    }

    /** A closed watch may still deliver after the executor has ended. */
    private void handOver(Runnable task) {
        if (!mExecutor.isShuttingDown()) {
            mExecutor.execute(task);
        }
    }

    private void onEvent(WatchEvent event) {
        mRetryMillis = MIN_RETRY_MILLIS;
        if (event.type() != WatchEvent.Type.BOOKMARK && event.version() > mRevision) {
            mRevision = event.version();
            mListener.onEvent(event);
        }
    }

    private void onClosed(int status) {
        if (status == GONE) {
            mRevision = -1;
        }
        LOG.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                "platform: watch ended. status=%d revision=%d", status, mRevision);
        retryLater();
    }

    /** Jitter keeps the daemons from calling at the same moment after an outage. */
    private void retryLater() {
        long delay = mRetryMillis / 2 + ThreadLocalRandom.current().nextLong(mRetryMillis);
        mRetryMillis = Math.min(MAX_RETRY_MILLIS, mRetryMillis * 2);
        if (!mClosed) {
            mExecutor.schedule(this::open, delay, TimeUnit.MILLISECONDS);
        }
    }

    private void closeWatch() {
        try {
            mWatch.close();
        } catch (Exception e) {
            LOG.atWarning().withCause(e).log("platform: watch did not close.");
        }
    }

    /** Takes what the store holds. */
    public interface Listener {
        /** Takes all objects at a revision. */
        void onSnapshot(ReadResult.Found snapshot);

        /** Takes one change. */
        void onEvent(WatchEvent event);
    }
}
