package org.geraniumusher.tool;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.model.ResultCode;
import org.geraniumusher.platform.StoredObject;

import java.util.Optional;

/**
 * Tells why a command failed. Immutable.
 *
 * @param current the object as it is now, in a conflict
 */
record Failure(ResultCode code, String message, Optional<StoredObject> current) {
    Failure {
        checkNotNull(code);
        checkNotNull(message);
        checkNotNull(current);
    }

    static Failure of(ResultCode code, String message) {
        return new Failure(code, message, Optional.empty());
    }

    /** Returns the same failure with another message. */
    Failure withMessage(String newMessage) {
        return new Failure(code, newMessage, current);
    }

    /** Returns one line that says what happened and what to do next. */
    String toLine() {
        String text = message.replaceAll("\\s*\\R\\s*", " ");
        return code.name() + " (" + code.number() + "): " + text + "; " + nextStep();
    }

    private String nextStep() {
        return switch (code) {
            case CONFLICT -> "read the object with 'get' and repeat the change";
            case INVALID_OBJECT -> "correct the object and repeat";
            case NOT_FOUND -> "check the name, 'get KIND' lists what exists";
            case PLATFORM_UNAVAILABLE ->
                    "the change may have taken effect: read the object with 'get' first";
            case NOT_IN_FORCE -> "look at 'daemons' and repeat the command to wait longer";
            case NO_DAEMON -> "check --daemon or GERANIUMUSHER_DAEMON";
            case NO_OWNER -> "wait until the service is assigned, see 'assignments'";
            default -> "check the arguments with --help";
        };
    }
}
