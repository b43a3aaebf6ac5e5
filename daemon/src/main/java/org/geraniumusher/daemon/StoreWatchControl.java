package org.geraniumusher.daemon;

import com.google.common.flogger.FluentLogger;

import org.geraniumusher.platform.ObjectApi;
import org.geraniumusher.platform.StoreWatch;

/**
 * Opens a watch of the store while this daemon is a feeder, and closes it otherwise: a waiting
 * watch counts as a call of the platform. Confined to the thread of the duty control.
 */
final class StoreWatchControl implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ObjectApi mApi;
    private final StoreWatch.Listener mListener;
    private StoreWatch mWatch;

    StoreWatchControl(ObjectApi api, StoreWatch.Listener listener) {
        mApi = api;
        mListener = listener;
    }

    void setWanted(boolean wanted) {
        if (wanted && mWatch == null) {
            LOG.atInfo().log("platform: watching the store as a feeder.");
            mWatch = StoreWatch.create(mApi, mListener);
            mWatch.start();
        } else if (!wanted && mWatch != null) {
            LOG.atInfo().log("platform: not a feeder any more, watch closed.");
            close();
        }
    }

    @Override
    public void close() {
        if (mWatch != null) {
            mWatch.close();
            mWatch = null;
        }
    }
}
