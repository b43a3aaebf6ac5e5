package org.geraniumusher.tool;

import java.util.Optional;
import java.util.function.Function;

/** Is the value of a step or the failure that ended it. Immutable. */
sealed interface Result<T> {
    /** Holds the value. */
    record Ok<T>(T value) implements Result<T> {}

    /** Holds the failure. */
    record Failed<T>(Failure failure) implements Result<T> {}

    /** Returns a result with a value. */
    static <T> Result<T> ok(T value) {
        return new Ok<>(value);
    }

    /** Returns a failed result. */
    static <T> Result<T> failed(Failure failure) {
        return new Failed<>(failure);
    }

    /** Goes on with the value, or keeps the failure. */
    default <R> Result<R> then(Function<T, Result<R>> next) {
        if (this instanceof Ok<T> ok) {
            return next.apply(ok.value());
        }
        return failed(((Failed<T>) this).failure());
    }

    /** Converts the value, or keeps the failure. */
    default <R> Result<R> map(Function<T, R> function) {
        return then(value -> ok(function.apply(value)));
    }

    /** Returns the failure, or empty when there is a value. */
    default Optional<Failure> findFailure() {
        return this instanceof Failed<T> failed ? Optional.of(failed.failure()) : Optional.empty();
    }
}
