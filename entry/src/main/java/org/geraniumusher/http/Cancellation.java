package org.geraniumusher.http;

import java.util.concurrent.CompletableFuture;

/**
 * Makes the cancellation of a future reach the call on which it depends, which the stages of {@link
 * CompletableFuture} do not. Stateless and thread-safe.
 */
public final class Cancellation {
    private Cancellation() {}

    /** Cancels {@code source} when {@code dependent} is cancelled, and returns the latter. */
    public static <T> CompletableFuture<T> propagate(
            CompletableFuture<T> dependent, CompletableFuture<?> source) {
        dependent.whenComplete(
                (value, error) -> {
                    if (dependent.isCancelled()) {
                        source.cancel(false);
                    }
                });
        return dependent;
    }

    /** Completes {@code target} as {@code source} does, and cancels that one with it. */
    public static <T> void forward(CompletableFuture<T> source, CompletableFuture<T> target) {
        propagate(target, source);
        source.whenComplete((value, error) -> complete(target, value, error));
    }

    /** Completes a future with an error, or with a value if there is none. */
    static <T> void complete(CompletableFuture<T> target, T value, Throwable error) {
        if (error == null) {
            target.complete(value);
        } else {
            target.completeExceptionally(error);
        }
    }
}
