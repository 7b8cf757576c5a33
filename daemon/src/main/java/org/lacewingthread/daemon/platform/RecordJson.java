package org.lacewingthread.daemon.platform;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.deser.std.StdDelegatingDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdDelegatingSerializer;
import com.fasterxml.jackson.databind.type.TypeFactory;
import com.fasterxml.jackson.databind.util.StdConverter;
import java.util.function.Function;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.ReplicaState;

/**
 * Configures the JSON mapper for log records: ids are written as text, offsets as numbers, snapshots as
 * {@link SnapshotJson}. Reading is strict: unknown, missing, null and duplicate fields are errors.
 */
final class RecordJson {
    private RecordJson() {}

    static ObjectMapper newMapper() {
        return JsonMapper.builder()
                .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
                .defaultSetterInfo(JsonSetter.Value.construct(Nulls.FAIL, Nulls.FAIL))
                .addMixIn(ApplicationId.class, TextIdMixin.class)
                .addMixIn(DataCentreId.class, TextIdMixin.class)
                .addMixIn(ServerId.class, TextIdMixin.class)
                .addMixIn(VmId.class, TextIdMixin.class)
                .addMixIn(WriterId.class, TextIdMixin.class)
                .addMixIn(LogOffset.class, NumberIdMixin.class)
                .addModule(newModule())
                .build();
    }

    private static SimpleModule newModule() {
        SimpleModule module = new SimpleModule("log records");
        addConversion(module, FencingToken.class, String.class, FencingToken::toString, FencingToken::parse);
        addConversion(module, ShardId.class, String.class, ShardId::toString, RecordJson::parseShard);
        addConversion(module, ReplicaState.class, SnapshotJson.class, SnapshotJson::of, SnapshotJson::toState);
        return module;
    }

    private static <V, J> void addConversion(
            SimpleModule module, Class<V> valueClass, Class<J> jsonClass, Function<V, J> write, Function<J, V> read) {
        module.addSerializer(
                valueClass, new StdDelegatingSerializer(valueClass, newConverter(valueClass, jsonClass, write)));
        module.addDeserializer(valueClass, new StdDelegatingDeserializer<>(newConverter(jsonClass, valueClass, read)));
    }

    private static <A, B> StdConverter<A, B> newConverter(Class<A> from, Class<B> to, Function<A, B> function) {
        return new StdConverter<>() {
            @Override
            public B convert(A value) {
                return function.apply(value);
            }

            @Override
            public JavaType getInputType(TypeFactory types) {
                return types.constructType(from);
            }

            @Override
            public JavaType getOutputType(TypeFactory types) {
                return types.constructType(to);
            }
        };
    }

    private static ShardId parseShard(String text) {
        int slash = text.indexOf('/');
        if (slash < 0) {
            throw new IllegalArgumentException("shard \"" + text + "\" does not have the form application/index");
        }
        return new ShardId(new ApplicationId(text.substring(0, slash)), Integer.parseInt(text.substring(slash + 1)));
    }

    /** Mix-in annotations for ids that are written as text. */
    @SuppressWarnings("UnusedVariable")
    private abstract static class TextIdMixin {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        TextIdMixin(String value) {}

        @JsonValue
        abstract String value();
    }

    /** Mix-in annotations for ids that are written as numbers. */
    @SuppressWarnings("UnusedVariable")
    private abstract static class NumberIdMixin {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        NumberIdMixin(long value) {}

        @JsonValue
        abstract long value();
    }
}
