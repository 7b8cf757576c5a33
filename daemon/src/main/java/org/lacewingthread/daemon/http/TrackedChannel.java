package org.lacewingthread.daemon.http;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A socket that knows whether it took a byte of the current request. The result of a write doesn't tell: it fails for a
 * request of which a part was written, and for one that the socket turned away as a whole.
 */
final class TrackedChannel extends NioSocketChannel {
    private boolean tookBytes;

    /** Forgets what was written of earlier requests. */
    void onNewRequest() {
        tookBytes = false;
    }

    /** Returns whether the peer may have received a part of the request. */
    boolean tookBytes() {
        return tookBytes;
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer pending) throws Exception {
        int buffers = pending.size();
        try {
            super.doWrite(pending);
        } finally {
            tookBytes |= pending.size() < buffers || pending.currentProgress() > 0;
        }
    }
}
