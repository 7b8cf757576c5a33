package org.lacewingthread.daemon.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.lacewingthread.daemon.explain.RequestExplanation;

/** Explains from the logs of entry VMs why a request ended as it did. */
final class ExplainCommand implements Command {
    private static final String JSON_OPTION = "json";

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String arguments() {
        return "REQUEST-ID FILE...";
    }

    @Override
    public String summary() {
        return "Tell from the logs of VMs why a request ended as it did.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(JSON_OPTION, "print JSON");
    }

    @Override
    public ExitCode run(OptionSet options, PrintStream out, PrintStream err) throws CommandException {
        List<String> arguments =
                options.nonOptionArguments().stream().map(Object::toString).toList();
        if (arguments.size() < 2) {
            throw new CommandException(ExitCode.USAGE, "explain takes a request id and at least one log file");
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
