package org.geraniumusher.retry;

import org.geraniumusher.model.Outcome;
import org.geraniumusher.model.ResultCode;

/** Names the ways in which an attempt fails. */
public enum Failure {
    /** No connection could be opened, so nothing was written. */
    CONNECT_FAILED(ResultCode.CONNECT_FAILED),
    /** The gate of the server refused it: queue full. */
    GATE_FULL(ResultCode.OVERLOADED),
    /** The gate of the server refused it: deadline out of reach. */
    GATE_TOO_LATE(ResultCode.DEADLINE_UNREACHABLE),
    /** The server refused it for lack of capacity. */
    REFUSED_BY_SERVER(ResultCode.REFUSED_BY_SERVER),
    /** The server does not hold the key now, which a running move or takeover will change. */
    NOT_OWNER(ResultCode.NO_OWNER),
    /** The connection broke after something had been written. */
    CONNECTION_LOST(ResultCode.OUTCOME_UNKNOWN),
    /** No answer came in time. */
    TIMED_OUT(ResultCode.TIMED_OUT);

    private final ResultCode mCode;

    Failure(ResultCode code) {
        mCode = code;
    }

    /** Returns the code that the caller gets when the request is not sent again. */
    public ResultCode code() {
        return mCode;
    }

    /** Returns whether the attempt certainly did not run. */
    public boolean certainlyNotRun() {
        return mCode.outcome() == Outcome.NOT_RUN;
    }
}
