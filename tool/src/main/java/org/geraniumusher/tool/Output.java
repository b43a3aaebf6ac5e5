package org.geraniumusher.tool;

import org.geraniumusher.operator.Json;

import java.io.PrintStream;
import java.util.function.Supplier;

/**
 * Prints results to standard output, as readable text or as one line of JSON, and progress and
 * failures to standard error. Not thread-safe.
 */
final class Output {
    private final PrintStream mOut;
    private final PrintStream mErr;
    private final boolean mJson;

    Output(PrintStream out, PrintStream err, boolean json) {
        mOut = out;
        mErr = err;
        mJson = json;
    }

    /** Prints {@code value} as JSON if the operator chose JSON, and {@code text} otherwise. */
    void printResult(Object value, Supplier<?> text) {
        if (mJson) {
            mOut.println(Json.write(value));
        } else {
            mOut.print(text.get());
        }
        mOut.flush();
    }

    /** Prints one line of progress. */
    void printProgress(String line) {
        mErr.println(line);
    }

    /** Prints a failure as one line. */
    void printFailure(Failure failure) {
        mErr.println("geraniumusher: " + failure.toLine());
    }
}
