package org.lacewingthread.daemon.intake;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.stream.ChunkedWriteHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.LongSupplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.lacewingthread.core.memory.MemoryAccount;
import org.lacewingthread.core.serving.CallerLimits;
import org.lacewingthread.core.traffic.ResponseStatus;

/**
 * Reads valid, cut and damaged requests in random pieces. Guards against bodies that change with the pieces they come in,
 * errors that end a connection without an answer, and memory that stays counted after a connection has ended. The system
 * property request.fuzz.rounds sets the requests of each try.
 */
class RequestReaderFuzzTest {
    private static final ResponseStatus OK = ResponseStatus.ofServer(200).orElseThrow();
    private static final int ROUNDS = Integer.getInteger("request.fuzz.rounds", 20);
    private static final long MAX_MEMORY_BYTES = 400_000;
    private static final int MAX_BODY_BYTES = 200_000;
    private static final long HEADER_TIMEOUT_MILLIS = 1_000;
    /** A process that is not scheduled for longer than this did not run. */
    private static final int MAX_RUNNING_GAP_MILLIS = 500;

    private final MemoryAccount account = new MemoryAccount(MAX_MEMORY_BYTES);
    private final List<byte[]> bodies = new ArrayList<>();
    private final List<Throwable> failures = new ArrayList<>();
    private final List<Integer> refusals = new ArrayList<>();
    private long nowMillis = 1_000_000;

    private final CallerRequestHandler handler = new CallerRequestHandler() {
        @Override
        public void onRequest(CallerRequest request) {
            bodies.add(ByteBufUtil.getBytes(request.body()));
            request.responder().respond(OK, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        }

        @Override
        public void onRequestWhileStopping(CallerRequest request) {}

        @Override
        public void onCallerDisconnected(CallerRequest request) {}

        @Override
        public void onInvalidRequest(int status, String reason) {
            refusals.add(status);
        }

        @Override
        public void onConnectionFailed(Throwable cause, int unanswered) {
            failures.add(cause);
        }
    };

    private EmbeddedChannel open() {
        return open(new CallerListener(handler, () -> 0, account, 10), () -> 0);
    }

    private EmbeddedChannel open(CallerListener listener, LongSupplier clockMillis) {
        CallerConnection connection = new CallerConnection(listener, handler, clockMillis);
        return new EmbeddedChannel(
                connection.newDecoder(16_384), new HttpResponseEncoder(), new ChunkedWriteHandler(), connection);
    }

    private static byte[] request(Random random, byte[] body) {
        ByteBuf request = Unpooled.buffer();
        write(request, "POST /" + random.nextInt(10) + " HTTP/1.1\r\nHost: a\r\n");
        for (int i = random.nextInt(50); i > 0; i--) {
            write(request, Integer.toString(i, 36) + ":" + " ".repeat(random.nextInt(3)) + "\r\n");
        }
        if (random.nextBoolean()) {
            write(request, "Content-Length: " + body.length + "\r\n\r\n");
            return ByteBufUtil.getBytes(request.writeBytes(body));
        }
        write(request, "Transfer-Encoding: chunked\r\n\r\n");
        int mostBytes = random.nextBoolean() ? 1 : 10_000;
        for (int at = 0; at < body.length; ) {
            int count = Math.min(body.length - at, 1 + random.nextInt(mostBytes));
            write(request, Integer.toHexString(count) + "\r\n");
            request.writeBytes(body, at, count);
            write(request, "\r\n");
            at += count;
        }
        write(request, random.nextBoolean() ? "0\r\n\r\n" : "0\r\nx: y\r\n\r\n");
        return ByteBufUtil.getBytes(request);
    }

    private static void write(ByteBuf to, String text) {
        to.writeCharSequence(text, StandardCharsets.US_ASCII);
    }

    private static void writePieces(EmbeddedChannel channel, Random random, byte[] bytes) {
        for (int at = 0; at < bytes.length && channel.isActive(); ) {
            int count = Math.min(bytes.length - at, 1 + random.nextInt(random.nextBoolean() ? 20 : 16_384));
            channel.writeInbound(Unpooled.copiedBuffer(bytes, at, count));
            at += count;
        }
    }

    @Property(tries = 20)
    void requestsAreReadAsSentAndLeaveNoMemoryCounted(@ForAll long seed) {
        Random random = new Random(seed);
        for (int round = 0; round < ROUNDS; round++) {
            byte[] body = new byte[random.nextInt(random.nextInt(5) == 0 ? MAX_BODY_BYTES / 4 : 500)];
            random.nextBytes(body);
            byte[] bytes = request(random, body);
            bodies.clear();
            EmbeddedChannel channel = open();
            boolean damaged = random.nextInt(3) == 0;
            if (damaged) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            boolean cut = random.nextInt(3) == 0;
            writePieces(channel, random, cut ? Arrays.copyOf(bytes, random.nextInt(bytes.length)) : bytes);
            if (!damaged && !cut) {
                assertThat(bodies).hasSize(1);
                assertThat(bodies.get(0)).isEqualTo(body);
            }
            assertThat(account.heldBytes()).isBetween(0L, MAX_MEMORY_BYTES);
            channel.finishAndReleaseAll();
            assertThat(account.heldBytes()).as("bytes counted after the end").isZero();
            assertThat(failures).isEmpty();
        }
    }

    /** Guards against heads in time that are refused, for instance after a pause of the process, and late ones that are not. */
    @Property(tries = 20)
    void headsInPiecesAreRefusedExactlyWhenTheyTakeTooLong(@ForAll long seed) {
        Random random = new Random(seed);
        CallerListener listener = new CallerListener(handler, () -> nowMillis, account, 10);
        listener.setLimits(new CallerLimits(16_384, MAX_BODY_BYTES, OptionalLong.of(HEADER_TIMEOUT_MILLIS), 1_000_000));
        for (int round = 0; round < ROUNDS; round++) {
            byte[] body = new byte[random.nextInt(500)];
            random.nextBytes(body);
            byte[] bytes = request(random, body);
            int headBytes = new String(bytes, StandardCharsets.ISO_8859_1).indexOf("\r\n\r\n") + 4;
            bodies.clear();
            refusals.clear();
            listener.tick();
            EmbeddedChannel channel = open(listener, () -> nowMillis);
            int mostMillis = 1 + random.nextInt(2 * (int) HEADER_TIMEOUT_MILLIS / 5);
            long runningMillis = 0;
            boolean late = false;
            for (int at = 0; at < bytes.length; ) {
                int count = Math.min(bytes.length - at, 1 + random.nextInt(Math.max(1, headBytes / 4)));
                channel.writeInbound(Unpooled.copiedBuffer(bytes, at, count));
                at += count;
                boolean pause = random.nextInt(10) == 0;
                int gapMillis = pause ? MAX_RUNNING_GAP_MILLIS + 1 + random.nextInt(9_000) : random.nextInt(mostMillis);
                nowMillis += gapMillis;
                runningMillis += pause ? 0 : gapMillis;
                listener.tick();
                late |= at < headBytes && runningMillis > HEADER_TIMEOUT_MILLIS;
                if (late) {
                    break;
                }
            }
            assertThat(refusals).isEqualTo(late ? List.of(408) : List.of());
            assertThat(channel.isActive()).isEqualTo(!late);
            assertThat(bodies).hasSize(late ? 0 : 1);
            channel.finishAndReleaseAll();
            assertThat(account.heldBytes()).as("bytes counted after the end").isZero();
            assertThat(failures).isEmpty();
        }
    }
}
