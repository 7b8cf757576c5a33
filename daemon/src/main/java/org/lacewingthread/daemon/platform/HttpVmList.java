package org.lacewingthread.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.lacewingthread.core.id.VmId;

/** Client of the platform's list of VMs over HTTP. docs/PROTOCOL.md specifies the protocol. */
public final class HttpVmList implements VmList {
    private static final int OK = 200;
    private static final String PATH = "/vms";
    private static final byte[] NO_BODY = {};

    private final PlatformClient client;
    private final URI base;
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Creates a client of the list.
     *
     * @param client sends the HTTP requests
     * @param base address of the list service, for example {@code http://10.0.0.9:7001}
     */
    public HttpVmList(PlatformClient client, URI base) {
        this.client = client;
        this.base = base;
    }

    @Override
    public Listing read() throws IOException {
        BufferedHttpResponse response = client.call(base, Methods.GET, PATH, NO_BODY);
        if (response.status() != OK) {
            throw new IOException("the list of VMs responded with status " + response.status());
        }
        JsonNode root = mapper.readTree(response.body());
        return new Listing(parseVmIds(root, "live"), parseVmIds(root, "leaving"));
    }

    private static List<VmId> parseVmIds(JsonNode root, String field) throws IOException {
        JsonNode nodes = root.path(field);
        if (!nodes.isArray()) {
            throw new IOException("field \"" + field + "\" of the list of VMs is not an array");
        }
        List<VmId> vms = new ArrayList<>();
        for (JsonNode node : nodes) {
            vms.add(parseVmId(node));
        }
        return vms;
    }

    private static VmId parseVmId(JsonNode node) throws IOException {
        if (!node.isTextual()) {
            throw new IOException("entry " + node + " of the list of VMs is not a string");
        }
        try {
            return new VmId(node.textValue());
        } catch (IllegalArgumentException e) {
            throw new IOException("the list of VMs contains an id that is not valid: " + e.getMessage(), e);
        }
    }
}
