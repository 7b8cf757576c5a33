package org.lacewingthread.daemon.peer;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/** Converts relayed requests, response headers and failures to wire messages and back. */
final class RequestCodec {
    private RequestCodec() {}

    static PeerWire.Frame encode(long stream, RoutedRequest request, long nowMillis) {
        PeerWire.RequestStart.Builder start = PeerWire.RequestStart.newBuilder()
                .setStream(stream)
                .setRequestId(request.requestId())
                .setApplication(request.shard().application().value())
                .setShardIndex(request.shard().index())
                .setKeyHash(request.keyHash())
                .setRequestClass(request.requestClass().name())
                .setMethod(request.method())
                .setPath(request.path())
                .setBody(ByteString.copyFrom(request.body()))
                .setRemainingMillis(request.deadlineMillis() - nowMillis)
                .setHops(request.hops());
        request.idempotencyKey().ifPresent(start::setIdempotencyKey);
        request.headers().forEach(header -> start.addHeaders(encode(header)));
        return PeerWire.Frame.newBuilder().setRequestStart(start).build();
    }

    /**
     * Decodes a relayed request.
     *
     * @throws IllegalArgumentException if a field has a value that the core's types reject
     */
    static RoutedRequest decode(PeerWire.RequestStart start, long nowMillis) {
        String idempotencyKey = start.getIdempotencyKey();
        return new RoutedRequest(
                start.getRequestId(),
                new ShardId(new ApplicationId(start.getApplication()), start.getShardIndex()),
                start.getKeyHash(),
                RequestClass.valueOf(start.getRequestClass()),
                start.getMethod(),
                start.getPath(),
                decodeHeaders(start.getHeadersList()),
                start.getBody().toByteArray(),
                nowMillis + start.getRemainingMillis(),
                idempotencyKey.isEmpty() ? Optional.empty() : Optional.of(idempotencyKey),
                start.getHops());
    }

    static PeerWire.Header encode(HeaderField header) {
        return PeerWire.Header.newBuilder()
                .setName(header.name())
                .setValue(header.value())
                .build();
    }

    static List<HeaderField> decodeHeaders(List<PeerWire.Header> headers) {
        return headers.stream()
                .map(header -> new HeaderField(header.getName(), header.getValue()))
                .toList();
    }

    static PeerWire.Frame encode(long stream, Failure failure) {
        return PeerWire.Frame.newBuilder()
                .setResponseFailure(PeerWire.ResponseFailure.newBuilder()
                        .setStream(stream)
                        .setCode(failure.code().number())
                        .setRetryAfterMillis(failure.retryAfterMillis())
                        .setDetail(failure.detail()))
                .build();
    }

    static Failure decode(PeerWire.ResponseFailure failure) {
        ResultCode code = ResultCode.byNumber(failure.getCode())
                .filter(known -> known.knowledge() != ResultCode.Knowledge.DONE)
                .orElse(ResultCode.OUTCOME_UNKNOWN);
        return new Failure(code, failure.getRetryAfterMillis(), failure.getDetail());
    }
}
