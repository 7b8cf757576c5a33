package org.lacewingthread.daemon.cli;

import io.netty.handler.codec.http.QueryStringEncoder;
import java.util.Map;
import java.util.TreeMap;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.lacewingthread.core.explain.RouteQuestion;

/** Asks a running router where a request would go, for {@code explain route}. */
final class RouteExplanationClient {
    private static final String PAGE = "/explain/route";
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    /** A VM of an earlier version answers each question with its metrics, which begin like this. */
    private static final String METRICS_START = "# ";

    private final Map<String, OptionSpec<String>> optionByParameter = new TreeMap<>();
    private OptionSpec<String> vm;

    void declareOptions(OptionParser parser) {
        vm = option(parser, "vm", "address of the VM's metrics (with route)", "host:port");
        declare(parser, RouteQuestion.HOST, "host", "host name that the caller uses (with route)", "name");
        declare(parser, RouteQuestion.PATH, "path", "path of the request (with route)", "path");
        declare(parser, RouteQuestion.METHOD, "method", "method; GET if left out (with route)", "name");
        declare(parser, RouteQuestion.KEY, "key", "key of the request (with route)", "number");
        declare(
                parser,
                RouteQuestion.DEADLINE_MILLIS,
                "deadline-ms",
                "how long the caller waits (with route)",
                "milliseconds");
    }

    private void declare(OptionParser parser, String parameter, String name, String description, String value) {
        optionByParameter.put(parameter, option(parser, name, description, value));
    }

    private static OptionSpec<String> option(OptionParser parser, String name, String description, String value) {
        return parser.accepts(name, description).withRequiredArg().describedAs(value);
    }

    /**
     * Returns the VM's answer.
     *
     * @param json whether it is wanted as JSON
     */
    String ask(OptionSet options, boolean json) throws CommandException {
        Map<String, String> parameters = new TreeMap<>();
        optionByParameter.forEach((parameter, option) -> {
            if (options.has(option)) {
                parameters.put(parameter, options.valueOf(option));
            }
        });
        try {
            RouteQuestion.parse(parameters);
        } catch (IllegalArgumentException e) {
            throw new CommandException(ExitCode.USAGE, e.getMessage(), e);
        }
        if (!options.has(vm)) {
            throw new CommandException(
                    ExitCode.USAGE, "no --vm given; give the address of the VM's metrics, such as 127.0.0.1:9464");
        }
        QueryStringEncoder target = new QueryStringEncoder(PAGE);
        parameters.forEach(target::addParam);
        target.addParam("format", json ? "json" : "text");
        return answer(options.valueOf(vm), target.toString());
    }

    private static String answer(String address, String target) throws CommandException {
        OperatorClient.Answer answer = OperatorClient.ask("VM", address, target);
        if (answer.status() == STATUS_OK && answer.body().startsWith(METRICS_START)) {
            throw new CommandException(
                    ExitCode.FAILED, "VM \"" + address + "\" has no page " + PAGE + "; ask one that runs this version");
        }
        return switch (answer.status()) {
            case STATUS_OK -> answer.body();
            case STATUS_BAD_REQUEST -> throw new CommandException(
                    ExitCode.USAGE,
                    "VM \"" + address + "\" rejects the question: "
                            + answer.body().strip());
            default -> throw new CommandException(
                    ExitCode.FAILED,
                    "VM \"" + address + "\" answers with HTTP status " + answer.status() + ": "
                            + answer.body().strip());
        };
    }
}
