import java.io.BufferedInputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Requests with a Transfer-Encoding that is not chunked, whose bodies look like another request: exits with 1 if a backend
 * runs what stands in a body.
 */
public final class RequestInBody {
    private static final int ROUNDS = 5;
    private static final long SETTLE_MILLIS = 300;

    private RequestInBody() {}

    public static void main(String[] arguments) {
        int status = 2;
        try {
            status = play(!"0".equals(System.getenv("TROUBLE")), new History(Path.of(arguments[0])));
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static int play(boolean trouble, History record) throws Exception {
        SmallDeployment deployment = new SmallDeployment(record, 0, 2);
        Router router = deployment.startRouter(true);
        deployment.awaitServing(30_000);
        List<String> sent = new ArrayList<>();
        List<String> inBodies = new ArrayList<>();
        String[] codings = trouble ? new String[] {"gzip", "identity"} : new String[] {"chunked"};
        for (int round = 1; round <= ROUNDS; round++) {
            for (String coding : codings) {
                String outer = "outer-" + coding + "-" + round;
                String inner = "inner-" + coding + "-" + round;
                sent.add(outer);
                inBodies.add(inner);
                exchange(router, coding, outer, inner, record);
            }
        }
        Daemons.sleep(SETTLE_MILLIS);
        int unasked = 0;
        for (Backend backend : deployment.plain) {
            for (Backend.Run run : backend.runs) {
                unasked += inBodies.contains(run.id()) ? 1 : 0;
            }
        }
        String result = unasked + " of " + inBodies.size() + " requests ran that stood in the body of another one";
        record.line((unasked > 0 ? "UNASKED broken: " : "UNASKED held: ") + result);
        System.out.println((unasked > 0 ? "UNASKED broken: " : "UNASKED held: ") + result);
        return unasked > 0 ? 1 : 0;
    }

    /** Sends one request, whose body is another one as text, and reads what comes back until the connection is quiet. */
    private static void exchange(Router router, String coding, String outer, String inner, History record)
            throws Exception {
        String body = "POST /entry/in-body HTTP/1.1\r\nHost: " + Client.HOST + "\r\nLacewingthread-Attempt-Id: " + inner
                + "\r\nLacewingthread-Deadline-Ms: 500\r\nContent-Length: 0\r\n\r\n";
        String framed = coding.equals("chunked")
                ? Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n"
                : body;
        String request = "POST /entry/a HTTP/1.1\r\nHost: " + Client.HOST + "\r\nLacewingthread-Attempt-Id: " + outer
                + "\r\nLacewingthread-Deadline-Ms: 500\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + framed;
        record.line("sent     " + outer + " with Transfer-Encoding: " + coding + ", in its body " + inner);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.callerPort)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Message answer = Message.read(in); answer != null; answer = Message.read(in)) {
                record.line("answered " + answer.firstLine() + " "
                        + new String(answer.body(), StandardCharsets.ISO_8859_1));
            }
        } catch (java.net.SocketTimeoutException e) {
            record.line("no further answer on the connection of " + outer);
        }
    }
}
