package org.geraniumusher.routing;

import org.geraniumusher.model.ResultCode;

/** Takes what was decided on requests. */
public interface RequestOutputs {
    /** Sends the next attempt of a request. */
    void dispatch(long id, Dispatch dispatch);

    /** Gives the present attempt up; its end is reported as of a lost connection. */
    void abort(long id);

    /**
     * Tells how a request of a caller ended, for service-level reports.
     *
     * @param succeeded whether the backend server answered
     * @param latencyNanos time from arrival to the end
     */
    void ended(String route, boolean succeeded, long latencyNanos);

    /** Ends a request without a response of a backend server. */
    void refuse(long id, ResultCode code, long retryAfterMillis);
}
