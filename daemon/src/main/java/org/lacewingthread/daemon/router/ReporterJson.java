package org.lacewingthread.daemon.router;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.membership.LeadAbility;

/** Reads who sent a report from its first datagram, which {@link PendingReport} writes. */
final class ReporterJson {
    /** Data centre of VMs with earlier builds, which do not state one. */
    private static final String UNKNOWN_DATA_CENTRE = "unknown";

    private ReporterJson() {}

    /**
     * Reads the reporter; what earlier builds do not state has the value that changes nothing.
     *
     * @throws IllegalArgumentException if a name is not valid
     */
    static PendingReport.Reporter read(JsonNode report) {
        List<ServerStart> leaving = new ArrayList<>();
        report.path(PendingReport.LEAVING_SERVERS)
                .forEach(server -> leaving.add(new ServerStart(
                        new ServerId(server.path(0).asText()), server.path(1).asLong())));
        return new PendingReport.Reporter(
                report.path(PendingReport.VM).asText(),
                new DataCentreId(report.path(PendingReport.DATA_CENTRE).asText(UNKNOWN_DATA_CENTRE)),
                report.path(PendingReport.CUT_OFF).asBoolean(),
                report.path(PendingReport.ANSWERING_SERVERS).asInt(),
                report.path(PendingReport.SILENT_SERVERS).asInt(),
                leaving,
                new LeadAbility(
                        report.path(PendingReport.COULD_LEAD).asBoolean(LeadAbility.UNKNOWN.couldLead()),
                        report.path(PendingReport.PROCESSORS).asInt(LeadAbility.UNKNOWN.processors()),
                        report.path(PendingReport.CAN_JOIN).asBoolean(LeadAbility.UNKNOWN.canJoin())));
    }
}
