package org.geraniumusher.operator;

import org.geraniumusher.model.ResultCode;

import java.util.Optional;

/**
 * The JSON body of every error reply. Immutable and thread-safe.
 *
 * @param code number of the {@link ResultCode}
 * @param name name of the {@link ResultCode}
 * @param message human-readable description of the error
 * @param outcome whether the request was executed: {@code not-run}, {@code ran} or {@code unknown}
 */
public record ErrorReply(int code, String name, String message, String outcome) {

    /** Returns the error body for a result code. */
    public static ErrorReply of(ResultCode code, String message) {
        return new ErrorReply(code.number(), code.name(), message, code.outcome().text());
    }

    /** Returns the result code, or empty if this release does not know its name. */
    public Optional<ResultCode> toResultCode() {
        for (ResultCode candidate : ResultCode.values()) {
            if (candidate.name().equals(name)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }
}
