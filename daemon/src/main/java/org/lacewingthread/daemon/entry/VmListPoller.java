package org.lacewingthread.daemon.entry;

import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.daemon.platform.VmList;

/** Reads the platform's VM list one second after the previous read ended and reports it to the control. */
final class VmListPoller implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(VmListPoller.class.getName());
    private static final long INTERVAL_MILLIS = 1_000;

    private final VmList list;
    private final Consumer<ControlEvent> events;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "vm-list");
        thread.setDaemon(true);
        return thread;
    });

    VmListPoller(VmList list, Consumer<ControlEvent> events) {
        this.list = list;
        this.events = events;
    }

    void start() {
        executor.scheduleWithFixedDelay(this::poll, 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void poll() {
        try {
            VmList.Listing listing = list.read();
            events.accept(new ControlEvent.VmListRead(listing.live(), listing.leaving()));
        } catch (IOException e) {
            LOG.log(System.Logger.Level.INFO, "failed to read the VM list: {0}", e.getMessage());
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
