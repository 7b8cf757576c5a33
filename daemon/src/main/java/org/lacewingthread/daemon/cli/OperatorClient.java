package org.lacewingthread.daemon.cli;

import io.undertow.util.Methods;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.lacewingthread.daemon.platform.BufferedHttpResponse;
import org.lacewingthread.daemon.platform.PlatformClient;

/** Reads pages from the operator port of an entry VM. */
final class OperatorClient {
    private static final PlatformClient.Timeouts TIMEOUTS = new PlatformClient.Timeouts(1_000, 5_000);
    private static final int STATUS_OK = 200;

    private OperatorClient() {}

    /**
     * Returns the body of a page.
     *
     * @param address operator address as {@code host:port}
     * @param path path of the page, such as {@code /status}
     * @throws CommandException if the address is not valid or the page can't be read
     */
    static String get(String address, String path) throws CommandException {
        Answer answer = ask("operator", address, path);
        if (answer.status() != STATUS_OK) {
            throw new CommandException(
                    ExitCode.UNREACHABLE,
                    "operator port \"" + address + "\" can't be read: HTTP status " + answer.status());
        }
        return answer.body();
    }

    /** Answer to a question, whatever its status. */
    record Answer(int status, String body) {}

    /**
     * Returns the answer of a port.
     *
     * @param kind kind of the port, for errors
     * @throws CommandException if the address is not valid or nobody answers there
     */
    static Answer ask(String kind, String address, String path) throws CommandException {
        if (!address.matches("[^:/]+:[0-9]+")) {
            throw new CommandException(ExitCode.USAGE, kind + " address \"" + address + "\" is not host:port");
        }
        try (PlatformClient client = PlatformClient.open(TIMEOUTS)) {
            BufferedHttpResponse answer = client.call(URI.create("http://" + address), Methods.GET, path, new byte[0]);
            return new Answer(answer.status(), new String(answer.body(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new CommandException(
                    ExitCode.UNREACHABLE, kind + " port \"" + address + "\" can't be read: " + e.getMessage(), e);
        }
    }
}
