package org.geraniumusher.tool;

import java.util.Optional;
import java.util.function.Function;

/** The outcome of an operation: a value or a failure. Immutable. */
sealed interface Result<T> {
    /** A successful outcome. */
    record Ok<T>(T value) implements Result<T> {}

    /** A failed outcome. */
    record Failed<T>(Failure failure) implements Result<T> {}

    /** Returns a successful result. */
    static <T> Result<T> ok(T value) {
        return new Ok<>(value);
    }

    /** Returns a failed result. */
    static <T> Result<T> failed(Failure failure) {
        return new Failed<>(failure);
    }

    /** Applies an operation that may fail to the value, or returns the failure unchanged. */
    default <R> Result<R> flatMap(Function<T, Result<R>> operation) {
        if (this instanceof Ok<T> ok) {
            return operation.apply(ok.value());
        }
        return failed(((Failed<T>) this).failure());
    }

    /** Applies a function to the value, or returns the failure unchanged. */
    default <R> Result<R> map(Function<T, R> function) {
        return flatMap(value -> ok(function.apply(value)));
    }

    /** Returns the failure, or empty if there is a value. */
    default Optional<Failure> findFailure() {
        return this instanceof Failed<T> failed ? Optional.of(failed.failure()) : Optional.empty();
    }
}
