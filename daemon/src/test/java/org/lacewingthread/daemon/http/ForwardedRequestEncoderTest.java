package org.lacewingthread.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Targets with bytes beyond ASCII, which callers should have percent-encoded. */
class ForwardedRequestEncoderTest {
    static Stream<byte[]> targets() {
        String allBytes = IntStream.rangeClosed(0x80, 0xff)
                .mapToObj(value -> Character.toString((char) value))
                .reduce("/o/", String::concat);
        return Stream.of(
                "/o/lote/niño?dueño=1".getBytes(StandardCharsets.UTF_8),
                "/o/lote/niño".getBytes(StandardCharsets.ISO_8859_1),
                "/o/布".getBytes(StandardCharsets.UTF_8),
                allBytes.getBytes(StandardCharsets.ISO_8859_1),
                "/o/1?a=%C3%B1#b".getBytes(StandardCharsets.US_ASCII));
    }

    /** Guards against a name that no client sent, and that a server runs a request for. */
    @ParameterizedTest
    @MethodSource("targets")
    void targetIsForwardedByteByByte(byte[] target) {
        EmbeddedChannel caller = new EmbeddedChannel(new HttpRequestDecoder());
        caller.writeInbound(Unpooled.wrappedBuffer(
                "POST ".getBytes(StandardCharsets.US_ASCII),
                target,
                " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
        HttpRequest received = caller.readInbound();
        EmbeddedChannel server = new EmbeddedChannel(new ForwardedRequestEncoder());
        server.writeOutbound(new DefaultFullHttpRequest(
                received.protocolVersion(),
                received.method(),
                received.uri(),
                Unpooled.EMPTY_BUFFER,
                received.headers(),
                received.headers()));
        ByteBuf sent = server.readOutbound();
        assertThat(ByteBufUtil.getBytes(sent)).startsWith(line(target));
    }

    private static byte[] line(byte[] target) {
        return ByteBufUtil.getBytes(Unpooled.wrappedBuffer(
                "POST ".getBytes(StandardCharsets.US_ASCII),
                target,
                " HTTP/1.1\r\n".getBytes(StandardCharsets.US_ASCII)));
    }
}
