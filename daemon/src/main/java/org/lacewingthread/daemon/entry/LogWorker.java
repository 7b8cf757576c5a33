package org.lacewingthread.daemon.entry;

import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.RecordHeader;
import org.lacewingthread.daemon.platform.LogBatch;
import org.lacewingthread.daemon.platform.LogException;
import org.lacewingthread.daemon.platform.LogRecordCodec;
import org.lacewingthread.daemon.platform.PlatformLog;

/**
 * Reads the platform's log and appends to it on two dedicated threads, so that a slow log blocks
 * neither the control thread nor traffic. At most one read is in progress at a time.
 */
final class LogWorker implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(LogWorker.class.getName());
    private static final int MAX_RECORDS_PER_READ = 1_000;
    private static final int MAX_WAITING_APPENDS = 256;

    private final PlatformLog log;
    private final LogRecordCodec codec;
    private final WriterId writer;
    private final String author;
    private final Consumer<ControlEvent> events;
    private final ExecutorService reader = Executors.newSingleThreadExecutor(task -> daemonThread(task, "log-reader"));
    private final ExecutorService appender = new ThreadPoolExecutor(
            1,
            1,
            0,
            TimeUnit.MILLISECONDS,
            new ArrayBlockingQueue<>(MAX_WAITING_APPENDS),
            task -> daemonThread(task, "log-appender"));
    private final AtomicBoolean readInProgress = new AtomicBoolean();

    LogWorker(PlatformLog log, LogRecordCodec codec, WriterId writer, String author, Consumer<ControlEvent> events) {
        this.log = log;
        this.codec = codec;
        this.writer = writer;
        this.author = author;
        this.events = events;
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Starts a read from an offset; does nothing while another read is in progress. */
    void read(LogOffset from) {
        if (readInProgress.compareAndSet(false, true)) {
            reader.execute(() -> performRead(from));
        }
    }

    private void performRead(LogOffset from) {
        try {
            deliver(log.read(from, MAX_RECORDS_PER_READ));
        } catch (LogException.Expired e) {
            readFromOldest(e.oldestOffset());
        } catch (LogException e) {
            reportUnavailable(e);
        } finally {
            readInProgress.set(false);
        }
    }

    private void readFromOldest(LogOffset oldest) {
        try {
            deliver(log.read(oldest, MAX_RECORDS_PER_READ));
        } catch (LogException e) {
            reportUnavailable(e);
        }
    }

    private void deliver(LogBatch batch) {
        List<LogEntry> entries = batch.records().stream()
                .map(record -> codec.decode(record.offset(), record.data()))
                .toList();
        events.accept(new ControlEvent.LogRead(entries, batch.oldestOffset(), batch.endOffset()));
    }

    private void reportUnavailable(LogException e) {
        LOG.log(System.Logger.Level.INFO, "the log can''t be read: {0}", e.getMessage());
        events.accept(new ControlEvent.LogUnavailable());
    }

    /**
     * Appends a record. Reports {@link ControlEvent.AppendRefused} only if the record was certainly not
     * appended; success is visible by reading the log.
     */
    void append(ControlAction.Append append) {
        try {
            appender.execute(() -> performAppend(append));
        } catch (RejectedExecutionException e) {
            events.accept(new ControlEvent.AppendRefused(append.sequence()));
        }
    }

    private void performAppend(ControlAction.Append append) {
        RecordHeader header = new RecordHeader(writer, append.sequence(), author, System.currentTimeMillis());
        try {
            log.append(codec.encode(header, append.record()));
        } catch (LogRecordCodec.RecordTooLargeException e) {
            LOG.log(System.Logger.Level.ERROR, "append {0} was refused: {1}", append.sequence(), e.getMessage());
            events.accept(new ControlEvent.AppendRefused(append.sequence()));
        } catch (LogException.OutcomeUnknown e) {
            LOG.log(System.Logger.Level.INFO, "outcome of append {0} is unknown: {1}", append.sequence(), e);
        } catch (LogException e) {
            LOG.log(System.Logger.Level.INFO, "append {0} was refused: {1}", append.sequence(), e.getMessage());
            events.accept(new ControlEvent.AppendRefused(append.sequence()));
        }
    }

    @Override
    public void close() {
        reader.shutdownNow();
        appender.shutdownNow();
    }
}
