package org.geraniumusher.tool;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

import org.geraniumusher.model.Address;

import java.util.List;
import java.util.Map;

/** Defines and parses the command-line arguments of the tool. Not thread-safe. */
final class CommandLine {
    /** Environment variable with the comma-separated operator addresses of daemons. */
    static final String DAEMONS_ENV_VARIABLE = "GERANIUMUSHER_DAEMON";

    private final ArgumentParser mParser =
            ArgumentParsers.newFor("geraniumusher")
                    .build()
                    .description(
                            "Shows the state of geraniumusher and takes servers out of service.");

    private CommandLine() {
        addCommonOptions(mParser);
        mParser.addArgument("--version").action(Arguments.version()).help("print the version");
        mParser.version("geraniumusher 0.1.0");
        Subparsers commands = mParser.addSubparsers().dest("command").metavar("COMMAND");
        addDrainCommands(commands);
        addQuarantineCommands(commands);
        addStateCommands(commands);
    }

    static CommandLine create() {
        return new CommandLine();
    }

    /**
     * Parses the arguments of one command. The option {@code --version} ends the process.
     *
     * @throws ArgumentParserException if the arguments are invalid or ask for help
     */
    Namespace parse(String[] args) throws ArgumentParserException {
        return mParser.parseArgs(args);
    }

    /** Returns the parser, which prints errors and help. */
    ArgumentParser parser() {
        return mParser;
    }

    /**
     * Returns the operator addresses of daemons from {@code --daemon}, or else those from the
     * environment variable; empty if neither is set.
     *
     * @throws IllegalArgumentException if an address cannot be parsed
     */
    static ImmutableList<Address> daemonAddresses(
            Namespace options, Map<String, String> environment) {
        List<String> fromOptions = options.getList("daemon");
        List<String> texts =
                fromOptions != null
                        ? fromOptions
                        : Splitter.on(',')
                                .trimResults()
                                .omitEmptyStrings()
                                .splitToList(environment.getOrDefault(DAEMONS_ENV_VARIABLE, ""));
        return texts.stream().map(Address::of).collect(ImmutableList.toImmutableList());
    }

    private static Subparser addCommand(Subparsers commands, String name, String help) {
        Subparser parser = commands.addParser(name).help(help).description(help);
        addCommonOptions(parser);
        return parser;
    }

    /**
     * Adds the options that are accepted both before and after the command. They have no default,
     * because the default of the command's parser would overwrite a value given before the command.
     */
    private static void addCommonOptions(ArgumentParser parser) {
        parser.addArgument("--daemon")
                .metavar("HOST:PORT")
                .action(Arguments.append())
                .setDefault(Arguments.SUPPRESS)
                .help("operator port of a daemon; repeat the option to name fallback daemons");
        parser.addArgument("--output")
                .choices("table", "json")
                .setDefault(Arguments.SUPPRESS)
                .help("output format (default: table)");
    }

    private static void addDrainCommands(Subparsers commands) {
        Subparser drain =
                addCommand(commands, "drain", "take servers out of service, wait until done");
        drain.addArgument("name").help("name of the drain, for 'return'");
        drain.addArgument("--selector")
                .required(true)
                .help(
                        "conditions on the labels data-centre, service, release and server,"
                                + " such as data-centre=nadi-b,service!=firing");
        addTimeout(drain, 300);
        Subparser returnCommand =
                addCommand(commands, "return", "return the servers of a drain to service");
        returnCommand.addArgument("name");
        addTimeout(returnCommand, 30);
        addCommand(commands, "drains", "show the drains and their progress");
    }

    private static void addQuarantineCommands(Subparsers commands) {
        addCommand(commands, "quarantines", "show the requests that crashed servers");
        Subparser release =
                addCommand(
                        commands,
                        "release-request",
                        "let a quarantined request reach servers again");
        release.addArgument("request")
                .metavar("FINGERPRINT")
                .help("fingerprint of the request, or its first digits if no other starts so");
        addTimeout(release, 30);
    }

    private static void addStateCommands(Subparsers commands) {
        Subparser owner = addCommand(commands, "owner", "show the owner of a key");
        owner.addArgument("service");
        owner.addArgument("key");
        addCommand(commands, "daemons", "show the daemons");
        addCommand(
                commands, "servers", "show the servers that are leaving or paused at each daemon");
        Subparser assignments =
                addCommand(commands, "assignments", "show the key ranges of a service");
        assignments.addArgument("service");
        Subparser report = addCommand(commands, "report", "print a report");
        report.addArgument("report").choices("burn");
        report.addArgument("--html").metavar("FILE").help("also write the report as an HTML page");
    }

    private static void addTimeout(Subparser parser, int defaultSeconds) {
        parser.addArgument("--timeout")
                .metavar("SECONDS")
                .type(Integer.class)
                .setDefault(defaultSeconds)
                .help("maximum time to wait");
    }
}
