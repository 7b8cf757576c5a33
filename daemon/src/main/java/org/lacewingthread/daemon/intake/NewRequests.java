package org.lacewingthread.daemon.intake;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.lacewingthread.daemon.reading.WatchedChannel;

/**
 * Complete requests of a connection. They are handled once the read that brought them is decoded, or, if they were read while
 * reading was paused, once it is resumed.
 */
final class NewRequests {
    private final Consumer<CallerRequest> handler;
    private final Deque<CallerRequest> requests = new ArrayDeque<>();
    private boolean decoding;
    private int readAheadCount;

    NewRequests(Consumer<CallerRequest> handler) {
        this.handler = handler;
    }

    void onDecoding() {
        decoding = true;
    }

    void add(CallerRequest request) {
        requests.addLast(request);
    }

    void onReadComplete(Channel channel) {
        decoding = false;
        if (WatchedChannel.isReadAhead(channel)) {
            readAheadCount = requests.size();
        } else {
            WatchedChannel.afterRead(channel, this::handle);
        }
    }

    /** Handles the requests that were read while reading was paused. */
    void onResumed(Channel channel) {
        if (readAheadCount > 0) {
            channel.eventLoop().execute(this::handle);
        }
    }

    private void handle() {
        readAheadCount = 0;
        for (CallerRequest next = requests.poll(); next != null; next = requests.poll()) {
            handler.accept(next);
        }
    }

    /** Returns how many requests wait until reading is resumed. */
    int readAheadCount() {
        return readAheadCount;
    }

    /** Returns whether the connection is open; reads it up to the present unless a read is being decoded. */
    boolean isOpen(Channel channel) {
        return decoding ? channel.isActive() : WatchedChannel.isOpenNow(channel);
    }

    /** Drops the requests, which are answered by nobody any more. */
    void clear() {
        requests.clear();
        readAheadCount = 0;
    }
}
