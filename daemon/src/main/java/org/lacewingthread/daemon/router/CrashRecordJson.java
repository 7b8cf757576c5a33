package org.lacewingthread.daemon.router;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.quarantine.CrashRecord;
import org.lacewingthread.core.quarantine.RequestFingerprint;

/** Writes records of requests that crash servers as JSON, for other entry VMs and for the store, and reads them. */
public final class CrashRecordJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String FINGERPRINT = "fingerprint";
    private static final String DESCRIPTION = "description";
    private static final String TARGET_HASH = "targetHash";
    private static final String ENDED_SERVERS = "endedServers";
    private static final String ROUNDS = "rounds";
    private static final String TRIALS = "trials";
    private static final String TRIAL_ENDS = "trialEndsUnixMillis";
    private static final String NEXT_TRIAL = "nextTrialUnixMillis";
    private static final String LAST_CRASH = "lastCrashUnixMillis";

    private CrashRecordJson() {}

    /** Returns a record as JSON text. */
    public static byte[] write(CrashRecord known) {
        return toJson(known).toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Reads a record.
     *
     * @throws IOException if the text is not JSON or lacks a valid fingerprint or server
     */
    public static CrashRecord read(byte[] bytes) throws IOException {
        try {
            return fromJson(MAPPER.readTree(bytes));
        } catch (IllegalArgumentException e) {
            throw new IOException("the record is not valid: " + e.getMessage(), e);
        }
    }

    static ObjectNode toJson(CrashRecord known) {
        ObjectNode json = JsonNodeFactory.instance
                .objectNode()
                .put(FINGERPRINT, known.fingerprint().hex())
                .put(DESCRIPTION, known.description())
                .put(TARGET_HASH, known.targetHash());
        ArrayNode servers = json.putArray(ENDED_SERVERS);
        known.endedServers()
                .forEach(server ->
                        servers.addArray().add(server.server().value()).add(server.startedUnixMillis()));
        return json.put(ROUNDS, known.rounds())
                .put(TRIALS, known.trials())
                .put(TRIAL_ENDS, known.trialEndsUnixMillis())
                .put(NEXT_TRIAL, known.nextTrialUnixMillis())
                .put(LAST_CRASH, known.lastCrashUnixMillis());
    }

    /**
     * Reads a record.
     *
     * @throws IllegalArgumentException if it lacks a valid fingerprint or server
     */
    static CrashRecord fromJson(JsonNode json) {
        Set<ServerStart> servers = new LinkedHashSet<>();
        json.path(ENDED_SERVERS)
                .forEach(server -> servers.add(new ServerStart(
                        new ServerId(server.path(0).asText()), server.path(1).asLong())));
        return new CrashRecord(
                new RequestFingerprint(json.path(FINGERPRINT).asText()),
                json.path(DESCRIPTION).asText(),
                json.path(TARGET_HASH).asInt(),
                servers,
                json.path(ROUNDS).asInt(),
                json.path(TRIALS).asInt(),
                json.path(TRIAL_ENDS).asLong(),
                json.path(NEXT_TRIAL).asLong(),
                json.path(LAST_CRASH).asLong());
    }
}
