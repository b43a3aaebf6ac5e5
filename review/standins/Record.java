package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with seconds since the start. */
final class Record {
    private final PrintWriter mOut;
    private final long mStart = System.nanoTime();

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file));
    }

    static double seconds(long nanos) {
        return nanos / 1e9;
    }

    synchronized void line(String format, Object... arguments) {
        mOut.printf(
                "%8.3f %s%n",
                seconds(System.nanoTime() - mStart), String.format(format, arguments));
        mOut.flush();
    }
}
