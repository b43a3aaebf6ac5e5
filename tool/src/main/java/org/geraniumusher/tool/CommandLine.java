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
import org.geraniumusher.model.Kind;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Defines the arguments of the tool. Not thread-safe. */
final class CommandLine {
    static final String DAEMON_VARIABLE = "GERANIUMUSHER_DAEMON";

    private static final ImmutableList<String> KINDS =
            Arrays.stream(Kind.values()).map(Kind::path).collect(ImmutableList.toImmutableList());
    private static final ImmutableList<String> DRAIN_KINDS =
            ImmutableList.of(Kind.DATA_CENTRE.path(), Kind.BACKEND_SERVER.path());

    private final ArgumentParser mParser =
            ArgumentParsers.newFor("geraniumusher")
                    .build()
                    .description("Reads and changes the configuration of geraniumusher.");

    private CommandLine() {
        addCommon(mParser);
        mParser.addArgument("--version").action(Arguments.version()).help("print the release");
        mParser.version("geraniumusher 0.1.0");
        Subparsers commands = mParser.addSubparsers().dest("command").metavar("COMMAND");
        addObjectCommands(commands);
        addDrainCommands(commands);
        addStateCommands(commands);
    }

    static CommandLine create() {
        return new CommandLine();
    }

    Namespace parse(String[] args) throws ArgumentParserException {
        return mParser.parseArgs(args);
    }

    ArgumentParser parser() {
        return mParser;
    }

    /** Returns the daemons given by option, else those of the environment variable. */
    static ImmutableList<Address> daemons(Namespace options, Map<String, String> environment) {
        List<String> given = options.getList("daemon");
        List<String> texts =
                given != null
                        ? given
                        : Splitter.on(',')
                                .trimResults()
                                .omitEmptyStrings()
                                .splitToList(environment.getOrDefault(DAEMON_VARIABLE, ""));
        return texts.stream().map(Address::of).collect(ImmutableList.toImmutableList());
    }

    private static Subparser command(Subparsers commands, String name, String help) {
        Subparser parser = commands.addParser(name).help(help).description(help);
        addCommon(parser);
        return parser;
    }

    /**
     * Adds the options that may stand before and after the command. They have no default, which
     * would replace the value that stood before the command.
     */
    private static void addCommon(ArgumentParser parser) {
        parser.addArgument("--daemon")
                .metavar("HOST:PORT")
                .action(Arguments.append())
                .setDefault(Arguments.SUPPRESS)
                .help("operator port of a daemon; repeat it to try the next when one is silent");
        parser.addArgument("--output")
                .choices("table", "json")
                .setDefault(Arguments.SUPPRESS)
                .help("form of the result, table unless given");
        parser.addArgument("--as")
                .metavar("WRITER")
                .setDefault(Arguments.SUPPRESS)
                .help("name under which changes are recorded");
    }

    private static void addObjectCommands(Subparsers commands) {
        Subparser apply = command(commands, "apply", "write the objects of a file");
        apply.addArgument("-f", "--file").required(true).help("JSON or TOML file");
        apply.addArgument("--wait")
                .action(Arguments.storeTrue())
                .help("wait until every live daemon has the change in force");
        apply.addArgument("--dry-run")
                .action(Arguments.storeTrue())
                .help("show the differences only");
        addTimeout(apply, 30);
        Subparser get = command(commands, "get", "show objects");
        get.addArgument("kind").choices(KINDS);
        get.addArgument("name").nargs("?");
        Subparser delete = command(commands, "delete", "delete an object");
        addKindAndName(delete, KINDS);
        Subparser label = command(commands, "label", "set or remove labels");
        addKindAndName(label, KINDS);
        label.addArgument("labels").nargs("+").help("NAME=VALUE sets, NAME- removes");
    }

    private static void addDrainCommands(Subparsers commands) {
        Subparser drain = command(commands, "drain", "take out of service and wait until empty");
        addKindAndName(drain, DRAIN_KINDS);
        addTimeout(drain, 300);
        Subparser comeBack = command(commands, "return", "return to service");
        addKindAndName(comeBack, DRAIN_KINDS);
        addTimeout(comeBack, 30);
    }

    private static void addStateCommands(Subparsers commands) {
        Subparser owner = command(commands, "owner", "show the owner of a key");
        owner.addArgument("service");
        owner.addArgument("key");
        command(commands, "daemons", "show the daemons");
        Subparser assignments = command(commands, "assignments", "show the slices of a service");
        assignments.addArgument("service");
        Subparser report = command(commands, "report", "print a report");
        report.addArgument("report").choices("burn");
        report.addArgument("--html").metavar("FILE").help("write an HTML page too");
    }

    private static void addKindAndName(Subparser parser, List<String> kinds) {
        parser.addArgument("kind").choices(kinds);
        parser.addArgument("name");
    }

    private static void addTimeout(Subparser parser, int seconds) {
        parser.addArgument("--timeout")
                .metavar("SECONDS")
                .type(Integer.class)
                .setDefault(seconds)
                .help("longest wait");
    }
}
