package org.geraniumusher.daemon;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

import java.nio.file.Path;

/** Runs the daemon {@code geraniumusherd}. */
public final class Main {
    private static final int EXIT_BAD_ARGUMENTS = 2;
    private static final int EXIT_BAD_SETTINGS = 3;

    private Main() {}

    /** Reads the settings, and starts the daemon unless only a check is asked for. */
    public static void main(String[] args) {
        ArgumentParser parser =
                ArgumentParsers.newFor("geraniumusherd")
                        .build()
                        .description("Routes requests to the backend servers that own their keys.");
        parser.addArgument("settings").help("settings file in TOML");
        parser.addArgument("--check-config")
                .action(Arguments.storeTrue())
                .help("check the settings and exit");
        try {
            Namespace namespace = parser.parseArgs(args);
            run(Path.of(namespace.getString("settings")), namespace.getBoolean("check_config"));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_BAD_ARGUMENTS);
        }
    }

    private static void run(Path path, boolean onlyCheck) {
        SettingsResult result = SettingsReader.read(path);
        if (result instanceof SettingsResult.Invalid invalid) {
            invalid.problems().forEach(problem -> System.err.println("settings: " + problem));
            System.exit(EXIT_BAD_SETTINGS);
        }
        if (onlyCheck) {
            System.out.println("settings: ok. file=" + path);
            return;
        }
        Settings settings = ((SettingsResult.Loaded) result).settings();
        LogSetup.install(settings.logLevel(), System.err);
        Daemon daemon = Daemon.start(settings);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    daemon.startDrain();
                                    daemon.stopped().join();
                                },
                                "shutdown"));
        daemon.stopped().join();
    }
}
