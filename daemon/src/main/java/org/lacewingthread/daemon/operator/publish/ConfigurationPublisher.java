package org.lacewingthread.daemon.operator.publish;

import java.util.List;
import org.lacewingthread.core.config.ConfigurationValidator;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.ReplicaState;

/**
 * Publishes routing configurations. If several operators publish changes of the same base revision, one of them
 * succeeds; the others get {@link PublishException.Conflict}.
 *
 * <pre>{@code
 * RoutingConfiguration next = ConfigurationFile.read(Path.of("routing.json")).configuration();
 * LogOffset revision = new ConfigurationPublisher(records).publish(base, next, deadlineMillis);
 * }</pre>
 */
public final class ConfigurationPublisher {
    private final RecordPublisher records;

    /** Creates a publisher that uses the given publisher of records. */
    public ConfigurationPublisher(RecordPublisher records) {
        this.records = records;
    }

    /**
     * Validates and publishes a configuration, and waits until its outcome is known.
     *
     * @param baseRevision revision that the new configuration is based on
     * @param configuration the new configuration
     * @param deadlineMillis deadline on the monotonic clock, in milliseconds
     * @return the new revision, which was accepted and stays so
     * @throws PublishException.Conflict if the current revision is not the base revision
     * @throws PublishException.Invalid if the configuration has errors
     * @throws PublishException.NotPublished if nothing was appended to the log
     * @throws PublishException.OutcomeUnknown if the record may have taken effect or may still do so
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public LogOffset publish(LogOffset baseRevision, RoutingConfiguration configuration, long deadlineMillis)
            throws PublishException, InterruptedException {
        records.refresh(deadlineMillis);
        ReplicaState state = records.reader().state();
        if (!baseRevision.equals(state.configurationRevision())) {
            throw new PublishException.Conflict("configuration is at revision " + state.configurationRevision()
                    + ", not at " + baseRevision + "; compare with it and publish on its base");
        }
        List<ConfigurationValidator.Problem> errors =
                ConfigurationValidator.validate(configuration, state.configuration()).stream()
                        .filter(ConfigurationValidator.Problem::isError)
                        .toList();
        if (!errors.isEmpty()) {
            throw new PublishException.Invalid(errors);
        }
        return records.publish(new LogRecord.ConfigurationPublished(baseRevision, configuration), deadlineMillis);
    }
}
