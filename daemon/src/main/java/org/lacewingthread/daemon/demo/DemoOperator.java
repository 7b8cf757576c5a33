package org.lacewingthread.daemon.demo;

import java.io.IOException;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.daemon.operator.publish.JsonRecordFormat;
import org.lacewingthread.daemon.operator.publish.LogReader;
import org.lacewingthread.daemon.operator.publish.PublisherClock;
import org.lacewingthread.daemon.operator.publish.RecordFormat;
import org.lacewingthread.daemon.operator.publish.RecordPublisher;
import org.lacewingthread.daemon.platform.HttpPlatformLog;
import org.lacewingthread.daemon.platform.PlatformClient;
import org.lacewingthread.daemon.platform.PlatformLog;

/** Publishes records to the log of a {@link DemoCluster} as the command line does. */
final class DemoOperator implements AutoCloseable {
    private static final PlatformClient.Timeouts TIMEOUTS = new PlatformClient.Timeouts(1_000, 5_000);

    private final PlatformClient client;
    private final RecordPublisher publisher;

    DemoOperator(DemoCluster cluster) throws IOException {
        this.client = PlatformClient.open(TIMEOUTS);
        PlatformLog log = new HttpPlatformLog(client, cluster.log().uri(), cluster.stream());
        RecordFormat format = new JsonRecordFormat();
        this.publisher = new RecordPublisher(
                log, format, new LogReader(log, format), new WriterId("demo-operator"), "demo", PublisherClock.SYSTEM);
    }

    RecordPublisher publisher() {
        return publisher;
    }

    @Override
    public void close() {
        client.close();
    }
}
