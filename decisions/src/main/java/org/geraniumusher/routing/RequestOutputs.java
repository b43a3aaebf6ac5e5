package org.geraniumusher.routing;

import org.geraniumusher.model.ResultCode;

/** Takes what was decided on requests. */
public interface RequestOutputs {
    /** Sends the next attempt of a request. */
    void dispatch(long id, Dispatch dispatch);

    /** Ends a request without a response of a backend server. */
    void refuse(long id, ResultCode code, long retryAfterMillis);
}
