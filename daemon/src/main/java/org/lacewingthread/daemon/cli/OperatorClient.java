package org.lacewingthread.daemon.cli;

import io.undertow.util.Methods;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.lacewingthread.daemon.platform.BufferedHttpResponse;
import org.lacewingthread.daemon.platform.PlatformClient;

/** Reads an entry VM's operator port. */
final class OperatorClient {
    private static final PlatformClient.Timeouts TIMEOUTS = new PlatformClient.Timeouts(1_000, 5_000);
    private static final int STATUS_OK = 200;

    private OperatorClient() {}

    /**
     * Reads a page.
     *
     * @param address host and port
     * @param path path of the page
     * @throws CommandException if the address is not valid or the VM does not answer
     */
    static String get(String address, String path) throws CommandException {
        if (!address.matches("[^:/]+:[0-9]+")) {
            throw new CommandException(ExitCode.USAGE, "operator address \"" + address + "\" is not host:port");
        }
        try (PlatformClient client = PlatformClient.open(TIMEOUTS)) {
            BufferedHttpResponse answer = client.call(URI.create("http://" + address), Methods.GET, path, new byte[0]);
            if (answer.status() != STATUS_OK) {
                throw new IOException("status " + answer.status());
            }
            return new String(answer.body(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new CommandException(
                    ExitCode.UNREACHABLE, "operator port \"" + address + "\" can't be read: " + e.getMessage(), e);
        }
    }
}
