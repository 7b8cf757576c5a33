package org.lacewingthread.daemon.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import org.lacewingthread.core.control.PeerMessage;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/**
 * Control messages as the bytes of their frames, for measurements that run without connections.
 *
 * <pre>{@code
 * PeerFrameCodec frames = new PeerFrameCodec(logEntryCodec);
 * byte[] bytes = frames.encode(message);
 * PeerMessage same = frames.decode(bytes);
 * }</pre>
 */
public final class PeerFrameCodec {
    private final PeerMessageCodec codec;

    /** Creates frames whose log entries are encoded by a codec. */
    public PeerFrameCodec(LogEntryCodec logEntries) {
        codec = new PeerMessageCodec(logEntries);
    }

    /** Returns the frame of a control message, without the length that goes before it. */
    public byte[] encode(PeerMessage message) {
        return codec.encode(message).toByteArray();
    }

    /** Returns the control message of a frame. */
    public PeerMessage decode(byte[] frame) {
        try {
            return codec.decode(PeerWire.Frame.parseFrom(frame))
                    .orElseThrow(() -> new IllegalArgumentException("frame carries no control message"));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("frame of " + frame.length + " bytes is not readable", e);
        }
    }
}
