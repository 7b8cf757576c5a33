package org.lacewingthread.daemon.router;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.membership.LeadAbility;

/**
 * Collects the load that an entry VM reports to the leader, and encodes it as JSON datagrams of limited size. The first
 * datagram of a report has the service times; those that do not fit wait for the next reports. Keys that do not fit
 * follow in further datagrams. All methods run on the control thread.
 */
final class PendingReport {
    /** Name of the field that only the first datagram of a report has. */
    static final String TIMES = "times";

    static final String VM = "vm";
    /** Names of the fields that tell whether the VM can send requests for others; in the first datagram only. */
    static final String DATA_CENTRE = "dataCentre";

    static final String ANSWERING_SERVERS = "answeringServers";
    static final String SILENT_SERVERS = "silentServers";
    static final String CUT_OFF = "cutOff";
    static final String LEAVING_SERVERS = "leavingServers";
    static final String COULD_LEAD = "couldLead";
    static final String PROCESSORS = "processors";
    static final String CAN_JOIN = "canJoin";
    static final String KEYS = "keys";
    static final String WANTS_TABLE_AFTER = "wantsTableAfter";
    /** Name of the field with the time at which the report was sent, by the reporter's clock. */
    static final String SENT_AT = "sentAtMillis";

    /** Most bytes of a datagram that carries load; such a datagram is not fragmented on Ethernet. */
    static final int MAX_DATAGRAM_BYTES = 1_400;

    /** Most keys of a service in one report. */
    private static final int MAX_KEYS_PER_SERVICE = 180;
    /** Most keys of all services in one report; limits its datagrams however many services there are. */
    private static final int MAX_KEYS = 720;
    /** Upper bound of the bytes that close a datagram's arrays and objects. */
    private static final int CLOSING_BYTES = 8;
    /** Upper bound of a number's bytes, with sign and separator. */
    private static final int NUMBER_BYTES = 21;
    /** Upper bound of the quotes, brackets and separators of a named array. */
    private static final int NAMED_ARRAY_BYTES = 8;
    /** Upper bound of the bytes that begin the field of keys. */
    private static final int KEYS_FIELD_BYTES = 12;

    private static final JsonFactory JSON = new JsonFactory();

    private final Map<ServiceId, List<Integer>> keysByService = new TreeMap<>();
    /** Service times by server; those that have waited longest come first. */
    private final Map<ServerStart, Double> waitingMillisByServer = new LinkedHashMap<>();

    private int keyCount;

    /**
     * The entry VM that reports.
     *
     * @param vm its name
     * @param dataCentre its data centre
     * @param cutOff whether it reaches no server
     * @param answeringServers number of servers that answered it of late; 0 also if it made no calls
     * @param silentServers number of servers that did not answer it of late, or refused its connections
     * @param leavingServers servers whose answers said that they leave
     * @param ability whether it could carry the lead
     */
    record Reporter(
            String vm,
            DataCentreId dataCentre,
            boolean cutOff,
            int answeringServers,
            int silentServers,
            List<ServerStart> leavingServers,
            LeadAbility ability) {
        /** Copies the list. */
        Reporter {
            leavingServers = List.copyOf(leavingServers);
        }

        /** Creates a VM of which it is not known whether it could carry the lead. */
        Reporter(
                String vm,
                DataCentreId dataCentre,
                boolean cutOff,
                int answeringServers,
                int silentServers,
                List<ServerStart> leavingServers) {
            this(vm, dataCentre, cutOff, answeringServers, silentServers, leavingServers, LeadAbility.UNKNOWN);
        }
    }

    /** Adds a requested key, unless the report is full. */
    void addKey(ServiceId service, int key) {
        List<Integer> keys = keysByService.computeIfAbsent(service, id -> new ArrayList<>());
        if (keys.size() < MAX_KEYS_PER_SERVICE && keyCount < MAX_KEYS) {
            keys.add(key);
            keyCount++;
        }
    }

    /** Adds the newest service times; a server whose earlier time still waits keeps its place. */
    void addServiceTimes(Map<ServerStart, Double> serviceMillis) {
        waitingMillisByServer.putAll(serviceMillis);
    }

    /** Discards all load. */
    void clear() {
        clearKeys();
        waitingMillisByServer.clear();
    }

    private void clearKeys() {
        keysByService.clear();
        keyCount = 0;
    }

    /**
     * Removes the load of the next report and returns its datagrams; there is always a first one.
     *
     * @param reporter the reporting entry VM
     * @param sentAtMillis when the report is sent, by the control clock
     * @param wantsTableAfter log position after the range table known here; empty if no table is wanted
     */
    List<byte[]> takeDatagrams(Reporter reporter, long sentAtMillis, OptionalLong wantsTableAfter) {
        List<byte[]> datagrams = new ArrayList<>();
        try {
            String vm = reporter.vm();
            Datagram datagram = new Datagram(vm);
            datagram.json.writeStringField(DATA_CENTRE, reporter.dataCentre().value());
            datagram.json.writeNumberField(ANSWERING_SERVERS, reporter.answeringServers());
            datagram.json.writeNumberField(SILENT_SERVERS, reporter.silentServers());
            datagram.json.writeBooleanField(CUT_OFF, reporter.cutOff());
            datagram.json.writeBooleanField(COULD_LEAD, reporter.ability().couldLead());
            datagram.json.writeNumberField(PROCESSORS, reporter.ability().processors());
            datagram.json.writeBooleanField(CAN_JOIN, reporter.ability().canJoin());
            writeServers(datagram, reporter.leavingServers());
            datagram.json.writeNumberField(SENT_AT, sentAtMillis);
            if (wantsTableAfter.isPresent()) {
                datagram.json.writeNumberField(WANTS_TABLE_AFTER, wantsTableAfter.getAsLong());
            }
            takeServiceTimes(datagram);
            datagram.json.writeObjectFieldStart(KEYS);
            for (Map.Entry<ServiceId, List<Integer>> keys : keysByService.entrySet()) {
                datagram = writeKeys(keys.getKey().value(), keys.getValue(), datagram, vm, datagrams);
            }
            datagrams.add(datagram.finish());
        } catch (IOException e) {
            throw new UncheckedIOException("failed to encode a report as JSON", e);
        }
        clearKeys();
        return datagrams;
    }

    private static void writeServers(Datagram datagram, List<ServerStart> servers) throws IOException {
        datagram.json.writeArrayFieldStart(LEAVING_SERVERS);
        for (ServerStart server : servers) {
            datagram.json.writeStartArray();
            datagram.json.writeString(server.server().value());
            datagram.json.writeNumber(server.startedUnixMillis());
            datagram.json.writeEndArray();
        }
        datagram.json.writeEndArray();
    }

    private void takeServiceTimes(Datagram datagram) throws IOException {
        datagram.json.writeObjectFieldStart(TIMES);
        Iterator<Map.Entry<ServerStart, Double>> waiting =
                waitingMillisByServer.entrySet().iterator();
        while (waiting.hasNext()) {
            Map.Entry<ServerStart, Double> time = waiting.next();
            ServerStart server = time.getKey();
            String id = server.server().value();
            if (!datagram.hasRoom(id.length() + NAMED_ARRAY_BYTES + 2 * NUMBER_BYTES + KEYS_FIELD_BYTES)) {
                break;
            }
            datagram.json.writeArrayFieldStart(id);
            datagram.json.writeNumber(server.startedUnixMillis());
            datagram.json.writeNumber(Math.round(time.getValue()));
            datagram.json.writeEndArray();
            waiting.remove();
        }
        datagram.json.writeEndObject();
    }

    /** Writes a service's keys and returns the datagram that is still open; appends full ones to a list. */
    private static Datagram writeKeys(
            String service, List<Integer> keys, Datagram first, String vm, List<byte[]> fullDatagrams)
            throws IOException {
        Datagram datagram = first;
        boolean arrayOpen = false;
        for (int key : keys) {
            int fieldBytes = arrayOpen ? 0 : service.length() + NAMED_ARRAY_BYTES;
            if (!datagram.hasRoom(fieldBytes + NUMBER_BYTES)) {
                fullDatagrams.add(datagram.finish());
                datagram = new Datagram(vm);
                datagram.json.writeObjectFieldStart(KEYS);
                arrayOpen = false;
            }
            if (!arrayOpen) {
                datagram.json.writeArrayFieldStart(service);
                arrayOpen = true;
            }
            datagram.json.writeNumber(key);
        }
        if (arrayOpen) {
            datagram.json.writeEndArray();
        }
        return datagram;
    }

    /** A datagram that is being written. */
    private static final class Datagram {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(MAX_DATAGRAM_BYTES);
        private final JsonGenerator json;

        Datagram(String vm) throws IOException {
            json = JSON.createGenerator(bytes);
            json.writeStartObject();
            json.writeStringField(VM, vm);
        }

        boolean hasRoom(int addedBytes) {
            return bytes.size() + json.getOutputBuffered() + addedBytes + CLOSING_BYTES <= MAX_DATAGRAM_BYTES;
        }

        /** Closes what is open and returns the datagram. */
        byte[] finish() throws IOException {
            json.close();
            return bytes.toByteArray();
        }
    }
}
