package org.lacewingthread.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.daemon.platform.LogBatch;
import org.lacewingthread.daemon.platform.LogException;
import org.lacewingthread.daemon.platform.LogRecordCodec;
import org.lacewingthread.daemon.platform.PlatformLog;
import org.slf4j.LoggerFactory;

/** Checks what is logged and reported when the platform's log fails. */
class LogWorkerTest {
    private static final LogOffset START = new LogOffset(0);

    /** A log that refuses every call. */
    private static final class UnavailableLog implements PlatformLog {
        @Override
        public LogOffset append(byte[] record) throws LogException {
            throw new LogException.Unavailable("connection refused", null);
        }

        @Override
        public LogBatch read(LogOffset from, int maxRecords) throws LogException {
            throw new LogException.Unavailable("connection refused", null);
        }
    }

    private static final class MessageRecorder extends AppenderBase<ILoggingEvent> {
        private final List<String> messages = new CopyOnWriteArrayList<>();

        @Override
        protected void append(ILoggingEvent event) {
            messages.add(event.getFormattedMessage());
        }
    }

    /** Guards against a log line without its cause and without the words that OPERATIONS.md tells operators to find. */
    @Test
    void failedReadIsLoggedWithTheDocumentedTextAndItsCause() {
        Logger logger = (Logger) LoggerFactory.getLogger(LogWorker.class);
        MessageRecorder recorder = new MessageRecorder();
        recorder.start();
        logger.addAppender(recorder);
        List<ControlEvent> events = new CopyOnWriteArrayList<>();
        LogRecordCodec codec = new LogRecordCodec();
        try (LogWorker worker =
                new LogWorker(new UnavailableLog(), codec, new WriterId("maras-1"), "maras-1", events::add)) {
            worker.read(START);
            await().until(() -> !events.isEmpty());
        } finally {
            logger.detachAppender(recorder);
        }
        assertThat(events).containsExactly(new ControlEvent.LogUnavailable());
        assertThat(recorder.messages).containsExactly("the log can't be read: connection refused");
    }
}
