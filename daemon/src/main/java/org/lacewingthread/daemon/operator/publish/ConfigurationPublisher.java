package org.lacewingthread.daemon.operator.publish;

import java.util.List;
import org.lacewingthread.core.config.ConfigurationValidator;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.ReplicaState;

/**
 * Publishes routing configurations. Of several operators who start from the same revision one wins;
 * the others are told of the conflict.
 *
 * <pre>{@code
 * RoutingConfiguration next = ConfigurationFile.read(Path.of("routing.json"));
 * LogOffset revision = new ConfigurationPublisher(records).publish(base, next, deadlineMillis);
 * }</pre>
 */
public final class ConfigurationPublisher {
    private final RecordPublisher records;

    /** Creates a publisher that writes through another. */
    public ConfigurationPublisher(RecordPublisher records) {
        this.records = records;
    }

    /**
     * Publishes a configuration.
     *
     * @param baseRevision revision that the configuration was made from
     * @param configuration the configuration
     * @param deadlineMillis monotonic time until which to try
     * @return the new revision; it is accepted and will not be reverted
     * @throws PublishException.Conflict if another revision is in force
     * @throws PublishException.Invalid if the configuration has errors
     * @throws PublishException.NotPublished if the log took nothing
     * @throws PublishException.OutcomeUnknown if the record may still take effect
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
