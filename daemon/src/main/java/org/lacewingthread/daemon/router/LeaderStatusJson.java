package org.lacewingthread.daemon.router;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.reachability.RelayPeer;

/** Writes the leader's answer to a report as JSON and reads it. */
final class LeaderStatusJson {
    private static final String STORE_SILENCE = "storeSilenceMillis";
    private static final String REGISTRY_SILENCE = "registrySilenceMillis";
    private static final String CONFIGURATION_AGE = "configurationAgeMillis";
    private static final String ENTRY_VMS = "entryVms";
    private static final String LINKS_IMPAIRED = "linksImpaired";
    private static final String RELAY_PEERS = "relayPeers";
    private static final String STORE_ERA = "storeEra";
    private static final String REGISTRY_POSITION = "registryPosition";
    private static final String CONFIGURATION_POSITION = "configurationPosition";
    private static final String TABLE_POSITION = "tablePosition";
    private static final String STANDBY = "standby";
    private static final String YIELDS_LEAD = "yieldsLead";
    /** Age that confirms nothing; earlier builds do not state one. */
    private static final long UNKNOWN_AGE_MILLIS = Long.MAX_VALUE / 2;

    private LeaderStatusJson() {}

    /** Returns whether a message is an answer of the leader. */
    static boolean isStatus(JsonNode message) {
        return message.has(STORE_SILENCE);
    }

    /**
     * Reads an answer; what earlier builds do not state has the value that changes nothing.
     *
     * @throws IllegalArgumentException if it names a VM without a valid id or address
     */
    static ReportChannel.LeaderStatus read(JsonNode message) {
        List<RelayPeer> peers = new ArrayList<>();
        message.path(RELAY_PEERS)
                .forEach(peer -> peers.add(new RelayPeer(
                        new VmId(peer.path(0).asText()),
                        new DataCentreId(peer.path(1).asText()),
                        peer.path(2).asText(),
                        peer.path(3).asInt())));
        return new ReportChannel.LeaderStatus(
                message.path(STORE_SILENCE).asLong(),
                message.path(REGISTRY_SILENCE).asLong(),
                message.path(CONFIGURATION_AGE).asLong(UNKNOWN_AGE_MILLIS),
                message.path(ENTRY_VMS).asInt(1),
                message.path(LINKS_IMPAIRED).asBoolean(),
                peers,
                new Platform.Positions(
                        message.path(STORE_ERA).asLong(),
                        message.path(REGISTRY_POSITION).asLong(),
                        message.path(CONFIGURATION_POSITION).asLong(),
                        message.path(TABLE_POSITION).asLong()),
                // All VMs of a leader with an earlier build stand by.
                message.path(STANDBY).asBoolean(true),
                message.path(YIELDS_LEAD).asBoolean());
    }

    static ObjectNode write(ReportChannel.LeaderStatus status) {
        ObjectNode message = JsonNodeFactory.instance
                .objectNode()
                .put(STORE_SILENCE, status.storeSilenceMillis())
                .put(REGISTRY_SILENCE, status.registrySilenceMillis())
                .put(CONFIGURATION_AGE, status.configurationAgeMillis())
                .put(ENTRY_VMS, status.entryVmCount())
                .put(LINKS_IMPAIRED, status.linksImpaired())
                .put(STORE_ERA, status.positions().era())
                .put(REGISTRY_POSITION, status.positions().registry())
                .put(CONFIGURATION_POSITION, status.positions().configuration())
                .put(TABLE_POSITION, status.positions().table())
                .put(STANDBY, status.standby())
                .put(YIELDS_LEAD, status.yieldsLead());
        ArrayNode peers = message.putArray(RELAY_PEERS);
        status.relayPeers().forEach(peer -> peers.addArray()
                .add(peer.vm().value())
                .add(peer.dataCentre().value())
                .add(peer.host())
                .add(peer.port()));
        return message;
    }
}
