package org.lacewingthread.daemon.cli;

import java.io.IOException;
import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.lacewingthread.daemon.demo.Demo;
import org.lacewingthread.daemon.operator.publish.PublishException;

/** Runs the demo; the exit code says whether every guarantee held. */
final class DemoCommand implements Command {
    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Run a small system in one process, break parts of it and check what was promised.";
    }

    @Override
    public void declareOptions(OptionParser parser) {}

    @Override
    public ExitCode run(OptionSet options, PrintStream out, PrintStream err) throws CommandException {
        try {
            return new Demo(out).run() ? ExitCode.OK : ExitCode.PROMISE_BROKEN;
        } catch (IOException | PublishException e) {
            throw new CommandException(ExitCode.FAILED, "the demo can't run: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted", e);
        }
    }
}
