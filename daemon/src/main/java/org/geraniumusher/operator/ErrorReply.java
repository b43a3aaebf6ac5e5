package org.geraniumusher.operator;

import com.fasterxml.jackson.annotation.JsonInclude;

import org.geraniumusher.model.ResultCode;
import org.geraniumusher.platform.StoredObject;

import java.util.Optional;

/**
 * Is the JSON body of every error. Immutable and thread-safe.
 *
 * @param code number of the result code
 * @param name name of the result code
 * @param message what happened, for people
 * @param outcome what is known about execution: {@code not-run}, {@code ran} or {@code unknown}
 * @param current the object as it is now, in a conflict over an object that exists; else null
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ErrorReply(
        int code, String name, String message, String outcome, StoredObject current) {

    /** Returns the reply for a result code. */
    public static ErrorReply of(ResultCode code, String message) {
        return new ErrorReply(code.number(), code.name(), message, code.outcome().text(), null);
    }

    /** Returns the reply to a write that met another version. */
    static ErrorReply ofConflict(Optional<StoredObject> current) {
        ResultCode code = ResultCode.CONFLICT;
        String message =
                current.map(o -> "version " + o.version() + " was written by " + o.writer())
                        .orElse("the object does not exist");
        return new ErrorReply(
                code.number(), code.name(), message, code.outcome().text(), current.orElse(null));
    }

    /** Returns the result code, or empty for a name that this release does not know. */
    public Optional<ResultCode> toResultCode() {
        for (ResultCode candidate : ResultCode.values()) {
            if (candidate.name().equals(name)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }
}
