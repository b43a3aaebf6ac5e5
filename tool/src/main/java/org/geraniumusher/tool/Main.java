package org.geraniumusher.tool;

import com.google.common.collect.ImmutableList;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

import org.geraniumusher.http.HttpClient;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.model.Selector;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Entry point of the command-line tool {@code geraniumusher}. Not thread-safe. */
public final class Main {
    /** Time limit of each call to a daemon. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

    private final Map<String, String> mEnvironment;
    private final PrintStream mOut;
    private final PrintStream mErr;
    private final Function<Duration, PollTimer> mPollTimers;

    Main(
            Map<String, String> environment,
            PrintStream out,
            PrintStream err,
            Function<Duration, PollTimer> pollTimers) {
        mEnvironment = environment;
        mOut = out;
        mErr = err;
        mPollTimers = pollTimers;
    }

    /** Runs one command and exits with its exit code. */
    public static void main(String[] args) {
        System.exit(new Main(System.getenv(), System.out, System.err, PollTimer::create).run(args));
    }

    /** Runs one command and returns its exit code; see {@link ExitCode}. */
    int run(String... args) {
        CommandLine commandLine = CommandLine.create();
        try {
            return execute(commandLine.parse(args));
        } catch (ArgumentParserException e) {
            PrintWriter writer = new PrintWriter(mErr, true, StandardCharsets.UTF_8);
            commandLine.parser().handleError(e, writer);
            writer.flush();
            return isHelp(e) ? ExitCode.of(ResultCode.OK) : ExitCode.USAGE;
        } catch (IllegalArgumentException e) {
            mErr.println("geraniumusher: " + e.getMessage() + "; see --help");
            return ExitCode.USAGE;
        }
    }

    private static boolean isHelp(ArgumentParserException e) {
        return e instanceof HelpScreenException;
    }

    private int execute(Namespace options) {
        ImmutableList<Address> daemons = CommandLine.daemonAddresses(options, mEnvironment);
        if (daemons.isEmpty()) {
            throw new IllegalArgumentException(
                    "no daemon given, use --daemon HOST:PORT or set "
                            + CommandLine.DAEMONS_ENV_VARIABLE);
        }
        Output output = new Output(mOut, mErr, "json".equals(options.getString("output")));
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            HttpClient http = HttpClient.create(group);
            OperatorClient client = OperatorClient.create(http, daemons, CALL_TIMEOUT);
            CommandContext context = new CommandContext(client, output, mPollTimers);
            Optional<Failure> failure = dispatch(options, context);
            failure.ifPresent(output::printFailure);
            return ExitCode.of(failure.map(Failure::code).orElse(ResultCode.OK));
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static Optional<Failure> dispatch(Namespace options, CommandContext context) {
        StateCommands state = new StateCommands(context);
        DrainCommands drains = new DrainCommands(context);
        QuarantineCommands quarantines = new QuarantineCommands(context);
        String name = options.getString("name");
        String service = options.getString("service");
        return switch (options.getString("command")) {
            case "drain" -> drains.drain(name, selector(options), timeout(options));
            case "return" -> drains.endDrain(name, timeout(options));
            case "drains" -> drains.listDrains();
            case "quarantines" -> quarantines.list();
            case "release-request" ->
                    quarantines.release(options.getString("request"), timeout(options));
            case "owner" -> state.owner(service, options.getString("key"));
            case "daemons" -> state.daemons();
            case "servers" -> state.servers();
            case "assignments" -> state.assignments(service);
            default ->
                    state.burnReport(Optional.ofNullable(options.getString("html")).map(Path::of));
        };
    }

    private static Selector selector(Namespace options) {
        return Selector.of(options.getString("selector"));
    }

    private static Duration timeout(Namespace options) {
        return Duration.ofSeconds(options.getInt("timeout"));
    }
}
