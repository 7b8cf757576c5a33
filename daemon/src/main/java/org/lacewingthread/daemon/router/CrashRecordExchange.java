package org.lacewingthread.daemon.router;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.lacewingthread.core.quarantine.CrashRecord;
import org.lacewingthread.core.quarantine.RequestFingerprint;

/**
 * Passes records of requests that crash servers between this entry VM, the others and the store. The others get each
 * record by way of the leader, or from this VM while no leader answers: at once if the request is suspected, otherwise
 * together with those of a short time, since many requests are at servers that go down together. The store gets suspected
 * ones, which must outlast all processes. Methods may be called on any thread.
 */
final class CrashRecordExchange implements CrashRecordLink {
    private static final String RECORDS = "crashRecords";
    /** Last records of acquitted requests; other records of a message are newer. */
    private static final String ACQUITTED = "crashRecordsAcquitted";
    /** Set in messages that the leader has to pass on to the other entry VMs. */
    private static final String PASS_ON = "passOn";

    private static final long BATCH_MILLIS = 50;
    /** Most records of a message, which has to fit into a datagram. */
    private static final int MAX_BATCH = 80;

    private final EventLoop eventLoop;
    private final CrashRecordStore store;
    private final Broadcaster broadcaster;
    private final Receiver receiver;
    private final Map<RequestFingerprint, CrashRecord> acquittedBatch = new LinkedHashMap<>();
    private final Map<RequestFingerprint, CrashRecord> batch = new LinkedHashMap<>();

    private boolean flushScheduled;

    /** Reaches all entry VMs. Used on the control thread. */
    interface Broadcaster {
        /** Returns whether this process leads. */
        boolean isLeading();

        /** Returns whether a leader other than this process has answered of late. */
        boolean isLeaderAnswering();

        /** Sends a message to the leader. */
        void sendToLeader(ObjectNode message);

        /** Sends a message to all entry VMs that are known here. */
        void sendToAll(ObjectNode message);
    }

    /** Receives what others know. Called on the control thread. */
    interface Receiver {
        /** Called with the record of another entry VM. */
        void onRecord(CrashRecord known);

        /** Called with a record that the store holds. */
        void onStoredRecord(CrashRecord known);

        /** Called with the last record of a request that was acquitted at another entry VM. */
        void onAcquitted(CrashRecord last);

        /** Called when the stored record of a request was deleted. */
        void onStoredRecordDeleted(RequestFingerprint fingerprint);

        /** Called with the result of reserving a trial. */
        void onTrialReserved(CrashRecord withTrial, boolean reserved);
    }

    CrashRecordExchange(EventLoop eventLoop, CrashRecordStore store, Broadcaster broadcaster, Receiver receiver) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.broadcaster = broadcaster;
        this.receiver = receiver;
    }

    @Override
    public void publish(CrashRecord changed) {
        eventLoop.execute(() -> {
            add(changed);
            if (changed.isSuspect()) {
                store.append(changed);
            }
        });
    }

    @Override
    public void repeat(CrashRecord known) {
        eventLoop.execute(() -> add(known));
    }

    @Override
    public void publishCleared(CrashRecord last) {
        eventLoop.execute(() -> {
            addAcquitted(last);
            if (last.isSuspect()) {
                store.delete(last.fingerprint());
            }
        });
    }

    @Override
    public void repeatCleared(CrashRecord last) {
        eventLoop.execute(() -> addAcquitted(last));
    }

    @Override
    public void reserveTrial(CrashRecord withTrial) {
        eventLoop.execute(
                () -> store.reserveTrial(withTrial, reserved -> receiver.onTrialReserved(withTrial, reserved)));
    }

    private void add(CrashRecord known) {
        batch.put(known.fingerprint(), known);
        flushSoon(known.isSuspect());
    }

    private void addAcquitted(CrashRecord last) {
        batch.remove(last.fingerprint());
        acquittedBatch.put(last.fingerprint(), last);
        flushSoon(last.isSuspect());
    }

    private void flushSoon(boolean urgent) {
        if (urgent || batch.size() + acquittedBatch.size() >= MAX_BATCH) {
            flush();
        } else if (!flushScheduled) {
            flushScheduled = true;
            eventLoop.schedule(
                    () -> {
                        flushScheduled = false;
                        flush();
                    },
                    BATCH_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void flush() {
        while (!batch.isEmpty() || !acquittedBatch.isEmpty()) {
            ObjectNode message = takeMessage();
            if (broadcaster.isLeading() || !broadcaster.isLeaderAnswering()) {
                broadcaster.sendToAll(message);
            } else {
                broadcaster.sendToLeader(message.put(PASS_ON, true));
            }
        }
    }

    private ObjectNode takeMessage() {
        ObjectNode message = JsonNodeFactory.instance.objectNode();
        int acquittedCount = take(acquittedBatch, message.putArray(ACQUITTED), MAX_BATCH);
        take(batch, message.putArray(RECORDS), MAX_BATCH - acquittedCount);
        return message;
    }

    private static int take(Map<RequestFingerprint, CrashRecord> from, ArrayNode to, int maxCount) {
        Iterator<CrashRecord> waiting = from.values().iterator();
        while (waiting.hasNext() && to.size() < maxCount) {
            to.add(CrashRecordJson.toJson(waiting.next()));
            waiting.remove();
        }
        return to.size();
    }

    /**
     * Handles a datagram if it is about requests that crash servers; returns whether it is.
     *
     * @throws IllegalArgumentException if the content is not valid
     */
    boolean onMessage(JsonNode message) {
        if (!message.has(RECORDS)) {
            return false;
        }
        boolean passOn = message.path(PASS_ON).asBoolean() && broadcaster.isLeading();
        for (JsonNode json : message.path(ACQUITTED)) {
            CrashRecord last = CrashRecordJson.fromJson(json);
            receiver.onAcquitted(last);
            if (passOn) {
                addAcquitted(last);
            }
        }
        for (JsonNode json : message.path(RECORDS)) {
            CrashRecord known = CrashRecordJson.fromJson(json);
            receiver.onRecord(known);
            if (passOn) {
                add(known);
            }
        }
        return true;
    }
}
