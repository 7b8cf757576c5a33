package org.lacewingthread.daemon.peer;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Collectors;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.serving.Repeatability;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RelayedRequest;
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

    static PeerWire.Frame encode(long stream, RelayedRequest request, long nowMillis) {
        PeerWire.RouteRequestStart.Builder start = PeerWire.RouteRequestStart.newBuilder()
                .setStream(stream)
                .setRequestId(request.requestId())
                .setService(request.service().value())
                .setRoute(request.route())
                .setRepeatable(request.repeatability() == Repeatability.REPEATABLE)
                .setPriority(request.priority())
                .setMaxAttempts(request.maxAttempts())
                .setRemainingMillis(request.deadlineMillis() - nowMillis)
                .setTargetRemainingMillis(request.targetAtMillis() - nowMillis)
                .setTargetLatencyMillis(request.targetLatencyMillis())
                .setMethod(request.method())
                .setTarget(request.target())
                .setBody(ByteString.copyFrom(request.body()));
        request.key().ifPresent(start::setKey);
        request.headers().forEach(header -> start.addHeaders(encode(header)));
        request.avoidedServers().forEach(server -> start.addAvoidedServers(server.value()));
        return PeerWire.Frame.newBuilder().setRouteRequestStart(start).build();
    }

    /**
     * Decodes a request that another router relays.
     *
     * @throws IllegalArgumentException if a field has a value that the core's types reject
     */
    static RelayedRequest decode(PeerWire.RouteRequestStart start, long nowMillis) {
        return new RelayedRequest(
                start.getRequestId(),
                new ServiceId(start.getService()),
                start.hasKey() ? OptionalInt.of(start.getKey()) : OptionalInt.empty(),
                start.getRoute(),
                start.getRepeatable() ? Repeatability.REPEATABLE : Repeatability.AT_MOST_ONCE,
                start.getPriority(),
                start.getMaxAttempts(),
                nowMillis + start.getRemainingMillis(),
                nowMillis + start.getTargetRemainingMillis(),
                start.getTargetLatencyMillis(),
                start.getMethod(),
                start.getTarget(),
                decodeHeaders(start.getHeadersList()),
                start.getBody().toByteArray(),
                start.getAvoidedServersList().stream().map(ServerId::new).collect(Collectors.toSet()));
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
