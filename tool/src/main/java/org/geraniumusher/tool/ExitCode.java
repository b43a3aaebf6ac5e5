package org.geraniumusher.tool;

import org.geraniumusher.model.ResultCode;

/**
 * Maps result codes to exit codes of the process.
 *
 * <p>An exit code has only 8 bits, so the hundreds of a result number become tens: 405 becomes 45.
 * Numbers within a hundred may therefore not exceed 10. A test checks that all exit codes differ.
 */
final class ExitCode {
    /** Exit code for invalid arguments, 2 by convention of command-line tools. */
    static final int USAGE = 2;

    private ExitCode() {}

    /** Returns the exit code for {@code code}. */
    static int of(ResultCode code) {
        return code.number() / 100 * 10 + code.number() % 100;
    }
}
