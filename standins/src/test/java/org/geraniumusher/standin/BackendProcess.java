package org.geraniumusher.standin;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.Address;
import org.geraniumusher.standin.backend.BackendMain;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;

/** Runs one backend server in a process of its own, which can be paused. Not thread-safe. */
final class BackendProcess implements AutoCloseable {
    private final Process mProcess;

    private BackendProcess(Process process) {
        mProcess = process;
    }

    static BackendProcess start(String name, Address address) {
        List<String> command =
                ImmutableList.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx128m",
                        "--add-opens",
                        "java.base/jdk.internal.misc=ALL-UNNAMED",
                        "-cp",
                        System.getProperty("java.class.path"),
                        BackendMain.class.getName(),
                        name + "=" + address);
        return new BackendProcess(launch(command));
    }

    /** Pauses the process; its sockets stay open and silent. */
    void pause() {
        signal("STOP");
    }

    /** Lets the paused process go on. */
    void resume() {
        signal("CONT");
    }

    /** Ends the process at once, paused or not, and waits for its end. */
    @Override
    public void close() {
        mProcess.destroyForcibly().onExit().join();
    }

    private void signal(String signal) {
        if (!mProcess.isAlive()) {
            throw new AssertionError("process has ended: " + mProcess.pid());
        }
        Process kill = launch(List.of("kill", "-" + signal, Long.toString(mProcess.pid())));
        int status = kill.onExit().join().exitValue();
        if (status != 0) {
            throw new AssertionError("kill -" + signal + " failed with " + status);
        }
    }

    private static Process launch(List<String> command) {
        try {
            return new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
