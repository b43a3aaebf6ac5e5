package org.geraniumusher.tool;

import org.geraniumusher.model.ResultCode;
import org.geraniumusher.operator.MemberStatus;
import org.geraniumusher.operator.Replies;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Polls until a condition holds and prints the progress. A failed poll, such as one to a daemon
 * that has just stopped, does not end the wait; if it was the last one, its failure is returned on
 * timeout. Not thread-safe.
 */
final class ProgressPoller {
    private final CommandContext mContext;
    private String mLastPrintedLine = "";

    ProgressPoller(CommandContext context) {
        mContext = context;
    }

    /**
     * The progress towards the condition.
     *
     * @param done whether the condition holds
     * @param line readable description of the progress, in one line
     */
    record Progress(boolean done, String line) {
        /** Returns the progress of a change that must be in force at every daemon that answers. */
        static Progress at(Replies.Daemons daemons, Predicate<MemberStatus> isInForce) {
            List<String> lagging =
                    daemons.daemons().stream()
                            .filter(d -> d.state() == MemberStatus.State.ALIVE)
                            .filter(isInForce.negate())
                            .map(MemberStatus::name)
                            .toList();
            return new Progress(
                    lagging.isEmpty(),
                    lagging.isEmpty()
                            ? "in force at all daemons that answer"
                            : "not yet in force at " + String.join(", ", lagging));
        }
    }

    /** Fetches the states of the daemons. */
    Result<Replies.Daemons> fetchDaemons() {
        return mContext.client().get("/admin/daemons", Replies.Daemons.class);
    }

    /**
     * Polls until {@code poll} reports that it is done. Returns empty in that case, and the failure
     * of the last poll on timeout.
     */
    Optional<Failure> await(Duration timeout, Supplier<Result<Progress>> poll) {
        PollTimer pollTimer = mContext.pollTimers().apply(timeout);
        Optional<Failure> failure;
        do {
            Result<Progress> result = poll.get();
            failure = result.flatMap(ProgressPoller::requireDone).findFailure();
            result.map(this::printIfChanged);
        } while (failure.isPresent() && pollTimer.awaitNextPoll());
        return failure;
    }

    private static Result<Progress> requireDone(Progress progress) {
        return progress.done()
                ? Result.ok(progress)
                : Result.failed(Failure.of(ResultCode.NOT_IN_FORCE, progress.line()));
    }

    private Progress printIfChanged(Progress progress) {
        if (!progress.line().equals(mLastPrintedLine)) {
            mContext.output().printProgress(progress.line());
        }
        mLastPrintedLine = progress.line();
        return progress;
    }
}
