package org.lacewingthread.daemon.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import org.lacewingthread.core.control.PeerMessage;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/**
 * Encodes control messages as bytes of frames and decodes them, for benchmarks that run without connections.
 *
 * <pre>{@code
 * PeerFrameCodec codec = new PeerFrameCodec(logEntryCodec);
 * byte[] bytes = codec.encode(message);
 * PeerMessage same = codec.decode(bytes);
 * }</pre>
 */
public final class PeerFrameCodec {
    private final PeerMessageCodec codec;

    /** Creates a codec that encodes the log entries within messages with the given one. */
    public PeerFrameCodec(LogEntryCodec logEntries) {
        codec = new PeerMessageCodec(logEntries);
    }

    /** Returns the encoded frame of a control message, without the length prefix. */
    public byte[] encode(PeerMessage message) {
        return codec.encode(message).toByteArray();
    }

    /**
     * Returns the control message in a frame.
     *
     * @throws IllegalArgumentException if the frame is malformed or holds no control message
     */
    public PeerMessage decode(byte[] frame) {
        try {
            return codec.decode(PeerWire.Frame.parseFrom(frame))
                    .orElseThrow(() -> new IllegalArgumentException(
                            "frame of " + frame.length + " bytes holds no control message"));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("frame of " + frame.length + " bytes is not valid", e);
        }
    }
}
