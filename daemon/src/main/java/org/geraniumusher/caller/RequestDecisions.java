package org.geraniumusher.caller;

import org.geraniumusher.model.ResultCode;
import org.geraniumusher.routing.Dispatch;
import org.geraniumusher.routing.GatewayReport;
import org.geraniumusher.routing.RequestHead;

import java.util.Optional;

/**
 * Takes the events of requests from the event loops to the thread that decides. Implementations are
 * thread-safe and do not block.
 */
public interface RequestDecisions {
    /**
     * Announces a request; returns false when the ring is full and the request is to be refused.
     */
    boolean arrived(Arrival arrival);

    /** Tells that the current attempt certainly did not run. */
    void notRun(long id, ResultCode code, boolean canResend);

    /** Tells that the current attempt may have run and has no response. */
    void outcomeUnknown(long id, boolean canResend);

    /**
     * Tells that a response came to its end.
     *
     * @param report what a gateway daemon told with the response
     */
    void answered(long id, Optional<GatewayReport> report);

    /** Tells that the caller has left or the deadline has passed; nothing more is expected. */
    void abandoned(long id);

    /**
     * Describes a request when it arrives.
     *
     * @param forwarded whether another daemon forwarded it, which names the server in its headers
     * @param arrivalNanos time of arrival
     */
    record Arrival(long id, RequestHead head, boolean forwarded, long arrivalNanos, Port port) {}

    /** Carries out decisions on one request; thread-safe. */
    interface Port {
        /** Sends the next attempt. */
        void dispatch(Dispatch dispatch);

        /** Gives up the present attempt unless its response has begun. */
        void abort();

        /** Ends the request without a response of a backend server. */
        void refuse(ResultCode code, long retryAfterMillis);
    }
}
