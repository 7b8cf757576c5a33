package org.lacewingthread.daemon.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.lacewingthread.daemon.operator.VmStatus;

/** Prints the state of an entry VM, as its operator port reports it. */
final class StatusCommand implements Command {
    private static final String JSON_OPTION = "json";
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private OptionSpec<String> operatorAddress;

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Show the state of an entry VM.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        operatorAddress = parser.accepts("operator", "address of the VM's operator port")
                .withRequiredArg()
                .describedAs("host:port")
                .required();
        parser.accepts(JSON_OPTION, "print JSON");
    }

    @Override
    public ExitCode run(OptionSet options, PrintStream out, PrintStream err) throws CommandException {
        String json = OperatorClient.get(options.valueOf(operatorAddress), "/status");
        if (options.has(JSON_OPTION)) {
            out.println(json);
        } else {
            print(parse(json), out);
        }
        return ExitCode.OK;
    }

    private static VmStatus parse(String json) throws CommandException {
        try {
            return MAPPER.readValue(json, VmStatus.class);
        } catch (JsonProcessingException e) {
            throw new CommandException(
                    ExitCode.FAILED, "status of the entry VM can't be parsed: " + e.getOriginalMessage(), e);
        }
    }

    private static void print(VmStatus status, PrintStream out) {
        out.println("VM " + status.vm() + " in " + status.dataCentre() + (status.ready() ? ", ready" : ", not ready")
                + (status.leaving() ? ", leaving" : ""));
        out.println(
                "log offset " + status.appliedOffset() + ", configuration revision " + status.configurationRevision());
        out.println("leader " + status.leader() + ", plan version " + status.planVersion() + ", dispatch lease "
                + status.dispatchLeaseMillis() + " ms");
        out.println("roster " + String.join(", ", status.roster()));
        status.servers()
                .forEach((server, state) -> out.println(
                        "server " + server + ": " + state.shards() + " shards, dispatcher " + state.dispatcher()));
    }
}
