package org.lacewingthread.daemon.cli;

import java.io.IOException;
import java.net.URI;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.daemon.operator.publish.JsonRecordFormat;
import org.lacewingthread.daemon.operator.publish.LogGapException;
import org.lacewingthread.daemon.operator.publish.LogHistory;
import org.lacewingthread.daemon.operator.publish.LogReader;
import org.lacewingthread.daemon.operator.publish.PublishException;
import org.lacewingthread.daemon.operator.publish.PublisherClock;
import org.lacewingthread.daemon.operator.publish.RecordFormat;
import org.lacewingthread.daemon.operator.publish.RecordPublisher;
import org.lacewingthread.daemon.platform.HttpPlatformLog;
import org.lacewingthread.daemon.platform.LogException;
import org.lacewingthread.daemon.platform.PlatformClient;
import org.lacewingthread.daemon.platform.PlatformLog;

/** Options of the commands that read or write the platform's log, and the connection to that log. */
final class PlatformOptions {
    private static final String DEFAULT_STREAM = "lacewingthread";
    private static final PlatformClient.Timeouts TIMEOUTS = new PlatformClient.Timeouts(1_000, 5_000);

    private OptionSpec<String> logAddress;
    private OptionSpec<String> stream;
    private OptionSpec<String> author;
    private OptionSpec<Integer> timeoutSeconds;

    /** The part of a command that needs the log. */
    @FunctionalInterface
    interface LogOperation {
        /** Runs with an open connection and returns the exit code. */
        ExitCode run(LogConnection connection)
                throws CommandException, PublishException, LogException, LogGapException, InterruptedException;
    }

    /**
     * An open connection to the log.
     *
     * @param log the log
     * @param history records that were read from the log
     * @param publisher publishes records and reads them back from the log
     * @param deadlineMillis monotonic time at which the command gives up, in milliseconds
     */
    record LogConnection(PlatformLog log, LogHistory history, RecordPublisher publisher, long deadlineMillis) {
        LogReader reader() {
            return publisher.reader();
        }
    }

    void declareOptions(OptionParser parser) {
        logAddress = parser.accepts("log", "address of the platform's log service")
                .withRequiredArg()
                .describedAs("host:port")
                .required();
        stream = parser.accepts("stream", "stream that holds the records")
                .withRequiredArg()
                .describedAs("name")
                .defaultsTo(DEFAULT_STREAM);
        author = parser.accepts("author", "name for the audit trail")
                .withRequiredArg()
                .describedAs("name")
                .defaultsTo(System.getProperty("user.name", "operator"));
        timeoutSeconds = parser.accepts("timeout", "how long to try")
                .withRequiredArg()
                .describedAs("seconds")
                .ofType(Integer.class)
                .defaultsTo(20);
    }

    /** Connects to the log, runs an operation and maps each kind of failure to an exit code. */
    ExitCode runWithLog(OptionSet options, LogOperation operation) throws CommandException {
        String address = options.valueOf(logAddress);
        try (PlatformClient client = PlatformClient.open(TIMEOUTS)) {
            return operation.run(connect(client, address, options));
        } catch (PublishException.Conflict e) {
            throw new CommandException(ExitCode.CONFLICT, e.getMessage(), e);
        } catch (PublishException.Invalid e) {
            throw new CommandException(ExitCode.INVALID_FILE, e.getMessage(), e);
        } catch (PublishException.OutcomeUnknown e) {
            throw new CommandException(ExitCode.OUTCOME_UNKNOWN, e.getMessage(), e);
        } catch (PublishException | LogException | LogGapException | IOException e) {
            throw new CommandException(
                    ExitCode.UNREACHABLE, "log \"" + address + "\" can't be used: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted", e);
        }
    }

    private LogConnection connect(PlatformClient client, String address, OptionSet options) throws CommandException {
        PlatformLog log = new HttpPlatformLog(client, logUri(address), options.valueOf(stream));
        RecordFormat format = new JsonRecordFormat();
        LogHistory history = new LogHistory();
        String authorName = options.valueOf(author);
        String writer = "operator-" + Long.toHexString(new SecureRandom().nextLong());
        RecordPublisher publisher = new RecordPublisher(
                log,
                format,
                new LogReader(log, format, history),
                new WriterId(writer),
                authorName,
                PublisherClock.SYSTEM);
        long deadlineMillis =
                PublisherClock.SYSTEM.monotonicMillis() + TimeUnit.SECONDS.toMillis(options.valueOf(timeoutSeconds));
        return new LogConnection(log, history, publisher, deadlineMillis);
    }

    private static URI logUri(String address) throws CommandException {
        if (!address.matches("[^:/]+:[0-9]+")) {
            throw new CommandException(ExitCode.USAGE, "log address \"" + address + "\" is not host:port");
        }
        return URI.create("http://" + address);
    }
}
