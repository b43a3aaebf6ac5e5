package org.geraniumusher.tool;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.model.ResultCode;

/**
 * The reason why a command failed. Immutable.
 *
 * @param message human-readable description of the error
 * @param suggestion what the operator can do about it
 */
record Failure(ResultCode code, String message, String suggestion) {
    Failure {
        checkNotNull(code);
        checkNotNull(message);
        checkNotNull(suggestion);
    }

    /** Returns a failure with the suggestion for a code that fits most commands. */
    static Failure of(ResultCode code, String message) {
        return new Failure(code, message, suggestionFor(code));
    }

    /** Returns the same failure with another suggestion. */
    Failure withSuggestion(String other) {
        return new Failure(code, message, other);
    }

    /** Returns one line with the result code, the message and a suggestion for the operator. */
    String toLine() {
        String text = message.replaceAll("\\s*\\R\\s*", " ");
        return code.name() + " (" + code.number() + "): " + text + "; " + suggestion;
    }

    private static String suggestionFor(ResultCode code) {
        return switch (code) {
            case CONFLICT -> "choose another name or end that drain with 'return'";
            case NOT_FOUND -> "check the name, 'drains' lists those in force";
            case PLATFORM_UNAVAILABLE ->
                    "the change may have taken effect: look at 'drains', then repeat it";
            case NOT_IN_FORCE -> "look at 'daemons' and repeat the command to wait longer";
            case NO_DAEMON -> "check --daemon or GERANIUMUSHER_DAEMON";
            case NO_OWNER -> "wait until the service is assigned, see 'assignments'";
            default -> "check the arguments with --help";
        };
    }
}
