package org.lacewingthread.daemon.router;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.function.LongSupplier;
import org.lacewingthread.core.memory.MemoryAccount;
import org.lacewingthread.daemon.intake.CallerListener;

/** Limits that follow from the heap and the descriptors that the process was given. */
final class ProcessLimits {
    /**
     * Share of the heap that requests and responses may hold. With 160 MiB it is 80 MiB, which holds one body of
     * 67,108,864 bytes; the rest is for the router's own state (some 20 MiB) and what the collector has not freed yet.
     */
    private static final double ACCOUNT_SHARE = 0.5;
    /** Share of the descriptors that callers may use; the rest is for servers, other VMs, the store and files. */
    private static final double CALLER_DESCRIPTOR_SHARE = 0.7;
    /** Heap that an open connection takes: its channel and handlers, and their buffers. */
    private static final long CONNECTION_BYTES = 10_240;
    /** Share of the heap for open connections beside the account. */
    private static final double CONNECTION_SHARE = 0.2;

    private ProcessLimits() {}

    /** Returns the listener of a process with an account of its memory, which also counts servers' responses. */
    static CallerListener callerListener(RequestEngine engine, LongSupplier clockMillis) {
        MemoryAccount account = new MemoryAccount((long) (Runtime.getRuntime().maxMemory() * ACCOUNT_SHARE));
        engine.countIn(account);
        return new CallerListener(engine, clockMillis, account, maxCallerConnections());
    }

    /** Returns the number of callers' connections that may be open. */
    private static int maxCallerConnections() {
        long byHeap = (long) (Runtime.getRuntime().maxMemory() * CONNECTION_SHARE / CONNECTION_BYTES);
        long byDescriptors = ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                ? (long) (system.getMaxFileDescriptorCount() * CALLER_DESCRIPTOR_SHARE)
                : byHeap;
        return (int) Math.max(1, Math.min(byHeap, byDescriptors));
    }
}
