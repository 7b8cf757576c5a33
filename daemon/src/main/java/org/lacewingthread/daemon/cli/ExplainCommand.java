package org.lacewingthread.daemon.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.lacewingthread.daemon.explain.RequestExplanation;

/**
 * Explains from the logs of entry VMs why a request ended as it did, or asks a running VM where a request would go now.
 *
 * <pre>{@code
 * lacewingthread explain 9c41d07be2a35f68 vm-1.log vm-2.log
 * lacewingthread explain route --vm 127.0.0.1:9464 --host shop.example --path /orders/17 --key 7
 * }</pre>
 */
final class ExplainCommand implements Command {
    private static final String JSON_OPTION = "json";
    private static final String ROUTE = "route";

    private final RouteExplanationClient route = new RouteExplanationClient();

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String arguments() {
        return "REQUEST-ID FILE...|route";
    }

    @Override
    public String summary() {
        return "Tell why a request ended as it did, or where one would go now.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(JSON_OPTION, "print JSON");
        route.declareOptions(parser);
    }

    @Override
    public ExitCode run(OptionSet options, PrintStream out, PrintStream err) throws CommandException {
        List<String> arguments =
                options.nonOptionArguments().stream().map(Object::toString).toList();
        if (arguments.equals(List.of(ROUTE))) {
            out.print(route.ask(options, options.has(JSON_OPTION)));
            return ExitCode.OK;
        }
        if (arguments.size() < 2) {
            throw new CommandException(
                    ExitCode.USAGE, "explain takes a request id and at least one log file, or \"route\"");
        }
        List<Path> files = arguments.stream().skip(1).map(Path::of).toList();
        RequestExplanation story = find(arguments.get(0), files);
        if (options.has(JSON_OPTION)) {
            out.println(story.json());
        } else {
            out.print(story.text());
        }
        return ExitCode.OK;
    }

    private static RequestExplanation find(String request, List<Path> files) throws CommandException {
        try {
            return RequestExplanation.find(request, files)
                    .orElseThrow(() -> new CommandException(
                            ExitCode.FAILED,
                            "request \"" + request + "\" ended in none of these logs; add the log of the VM that "
                                    + "took it, and look there for \"log.dropped\""));
        } catch (IOException e) {
            throw new CommandException(ExitCode.INVALID_FILE, "log can't be read: " + e.getMessage(), e);
        }
    }
}
