package org.geraniumusher.tool;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;

/**
 * The services shared by all commands. Not thread-safe.
 *
 * @param client client for the operator ports of the daemons
 * @param output printer of results and progress
 * @param pollTimers creates the timer of a wait from the time limit of the wait
 */
record CommandContext(
        OperatorClient client, Output output, Function<Duration, PollTimer> pollTimers) {
    /** Fetches a reply and prints it, as text or a table unless the operator chose JSON. */
    <T> Optional<Failure> printReply(String uri, Class<T> type, Function<T, ?> toText) {
        return client.get(uri, type)
                .map(
                        reply -> {
                            output.printResult(reply, () -> toText.apply(reply));
                            return reply;
                        })
                .findFailure();
    }
}
