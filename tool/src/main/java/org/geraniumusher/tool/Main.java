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
import org.geraniumusher.model.Kind;
import org.geraniumusher.model.ResultCode;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Runs the command-line tool {@code geraniumusher}. Not thread-safe. */
public final class Main {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

    private final Map<String, String> mEnvironment;
    private final PrintStream mOut;
    private final PrintStream mErr;
    private final Function<Duration, Pacer> mPacers;

    Main(
            Map<String, String> environment,
            PrintStream out,
            PrintStream err,
            Function<Duration, Pacer> pacers) {
        mEnvironment = environment;
        mOut = out;
        mErr = err;
        mPacers = pacers;
    }

    /** Runs one command and exits with its code. */
    public static void main(String[] args) {
        System.exit(new Main(System.getenv(), System.out, System.err, Pacer::create).run(args));
    }

    /** Runs one command and returns the exit code. */
    int run(String... args) {
        CommandLine commandLine = CommandLine.create();
        try {
            return run(commandLine.parse(args));
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

    private int run(Namespace options) {
        ImmutableList<Address> daemons = CommandLine.daemons(options, mEnvironment);
        if (daemons.isEmpty()) {
            throw new IllegalArgumentException(
                    "no daemon given, use --daemon HOST:PORT or set "
                            + CommandLine.DAEMON_VARIABLE);
        }
        Output output = new Output(mOut, mErr, "json".equals(options.getString("output")));
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            HttpClient http = HttpClient.create(group);
            OperatorClient client = OperatorClient.create(http, daemons, CALL_TIMEOUT);
            ObjectClient objects = new ObjectClient(client, writer(options));
            Context context = new Context(client, objects, output, mPacers);
            Optional<Failure> failure = dispatch(options, context);
            failure.ifPresent(output::failure);
            return ExitCode.of(failure.map(Failure::code).orElse(ResultCode.OK));
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static String writer(Namespace options) {
        String given = options.getString("as");
        return given != null ? given : System.getProperty("user.name", "unknown");
    }

    private static Optional<Failure> dispatch(Namespace options, Context context) {
        ObjectCommands objects = new ObjectCommands(context);
        StateCommands state = new StateCommands(context);
        String kind = options.getString("kind");
        String name = options.getString("name");
        String service = options.getString("service");
        return switch (options.getString("command")) {
            case "apply" -> apply(options, context);
            case "get" -> objects.get(kind, Optional.ofNullable(name));
            case "delete" -> objects.delete(kind, name);
            case "label" -> objects.label(kind, name, LabelChange.of(options.getList("labels")));
            case "drain" -> drain(options, context).drain(timeout(options));
            case "return" -> drain(options, context).comeBack(timeout(options));
            case "owner" -> state.owner(service, options.getString("key"));
            case "daemons" -> state.daemons();
            case "assignments" -> state.assignments(service);
            default -> state.burn(Optional.ofNullable(options.getString("html")).map(Path::of));
        };
    }

    private static Optional<Failure> apply(Namespace options, Context context) {
        Optional<Duration> wait =
                options.getBoolean("wait") ? Optional.of(timeout(options)) : Optional.empty();
        return new ApplyCommand(context, options.getBoolean("dry_run"), wait)
                .run(Path.of(options.getString("file")));
    }

    private static DrainCommand drain(Namespace options, Context context) {
        Kind kind = Kind.ofPath(options.getString("kind")).orElseThrow();
        return new DrainCommand(context, kind, options.getString("name"));
    }

    private static Duration timeout(Namespace options) {
        return Duration.ofSeconds(options.getInt("timeout"));
    }
}
