package org.geraniumusher.experiments;

import org.geraniumusher.model.ResultCode;
import org.geraniumusher.routing.Dispatch;
import org.geraniumusher.routing.RequestOutputs;

/** Counts the outputs of a request decider and drops them. Not thread-safe. */
final class CountingOutputs implements RequestOutputs {
    private long mDispatched;
    private long mRefused;

    long dispatched() {
        return mDispatched;
    }

    long refused() {
        return mRefused;
    }

    @Override
    public void abort(long id) {}

    @Override
    public void dispatch(long id, Dispatch dispatch) {
        mDispatched++;
    }

    @Override
    public void ended(String route, boolean succeeded, long latencyNanos) {}

    @Override
    public void refuse(long id, ResultCode code, long retryAfterMillis) {
        mRefused++;
    }
}
