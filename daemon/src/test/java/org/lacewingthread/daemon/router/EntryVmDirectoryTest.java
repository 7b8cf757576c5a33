package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.DataCentreId;

/** Which entry VMs the leader names to those that reach no server. */
class EntryVmDirectoryTest {
    private static final DataCentreId MARAS = new DataCentreId("maras");
    private static final DataCentreId CALCA = new DataCentreId("calca");
    private static final InetSocketAddress ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7_000);

    private final EntryVmDirectory directory = new EntryVmDirectory();

    @BeforeEach
    void report() {
        report("near", MARAS, false, 5, 2);
        report("far", CALCA, false, 9, 0);
        report("idle", MARAS, false, 0, 0);
        report("refused", MARAS, false, 4, 3);
        report("cut", MARAS, true, 0, 3);
    }

    private void report(String vm, DataCentreId dataCentre, boolean cutOff, int answering, int silent) {
        directory.onReport(
                new PendingReport.Reporter(vm, dataCentre, cutOff, answering, silent, List.of()), ADDRESS, 1_000);
    }

    private List<String> peersOfCut(long nowMillis) {
        return directory.peersFor("cut", MARAS, nowMillis).stream()
                .map(peer -> peer.vm().value())
                .toList();
    }

    /** Guards against requests to VMs whose new connections are refused as well, because they are near. */
    @Test
    void vmsThatServersAnsweredComeFirstAndThoseWithSilentServersLast() {
        assertThat(peersOfCut(1_500)).containsExactly("near", "far", "idle", "refused");
    }

    /** Guards against requests to VMs that have reported nothing for a while. */
    @Test
    void oldReportsNameNobody() {
        assertThat(peersOfCut(2_600)).isEmpty();
        assertThat(directory.count("cut", 2_600)).isEqualTo(5);
        assertThat(directory.count("cut", 6_100)).isEqualTo(1);
    }

    /** Guards against leaders that yield although no VM reaches more servers, and against those that don't. */
    @Test
    void linksAreImpairedIfMostServersAreSilentAndAnotherVmReachesFarMore() {
        int most = directory.mostAnsweringServers(1_500);
        assertThat(new Reach(false, 3, 12, 10).isImpaired(most)).isTrue();
        assertThat(new Reach(false, 4, 12, 10).isImpaired(most)).isFalse();
        assertThat(new Reach(false, 3, 2, 10).isImpaired(most)).isFalse();
        assertThat(new Reach(true, 0, 3, 900).isImpaired(0)).isTrue();
    }
}
