package org.geraniumusher.tool;

import org.geraniumusher.model.ResultCode;

/**
 * Maps result codes to exit codes, which hold 8 bits only: the hundreds of the number become tens.
 * The numbers of a hundred therefore end at 10; the codes stay distinct, which a test checks.
 */
final class ExitCode {
    /** Arguments that cannot be parsed, as usual among command-line tools. */
    static final int USAGE = 2;

    private ExitCode() {}

    static int of(ResultCode code) {
        return code.number() / 100 * 10 + code.number() % 100;
    }
}
