package org.lacewingthread.daemon.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.lacewingthread.core.control.AuditLine;

/** Prints the audit trail from the log, as text or as one JSON object per line. */
final class AuditCommand implements Command {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String JSON_OPTION = "json";

    private final PlatformOptions platform = new PlatformOptions();

    @Override
    public String name() {
        return "audit";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Print who changed what and when.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        platform.declareOptions(parser);
        parser.accepts(JSON_OPTION, "print one JSON object a line");
    }

    @Override
    public ExitCode run(OptionSet options, PrintStream out, PrintStream err) throws CommandException {
        return platform.runWithLog(options, connection -> {
            connection.reader().readToEnd();
            for (AuditLine line : connection.history().audit()) {
                out.println(options.has(JSON_OPTION) ? json(line) : AuditLineFormatter.format(line));
            }
            return ExitCode.OK;
        });
    }

    private static String json(AuditLine line) throws CommandException {
        try {
            return MAPPER.writeValueAsString(line);
        } catch (JsonProcessingException e) {
            throw new CommandException(ExitCode.FAILED, "audit line " + line + " can't be written as JSON", e);
        }
    }
}
