package org.lacewingthread.daemon.intake;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/** Closes connections so that their last response arrives. */
final class LingeringClose {
    private LingeringClose() {}

    /**
     * Closes the sending side first and the connection after a time: a full close with unread input would reset the
     * connection and could destroy the last response in transit.
     */
    static void close(Channel channel, long lingerMillis) {
        if (channel instanceof DuplexChannel duplex && channel.isActive()) {
            duplex.shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), lingerMillis, TimeUnit.MILLISECONDS);
        } else {
            channel.close();
        }
    }
}
