package org.lacewingthread.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.standin.VmListFaults;
import org.lacewingthread.standin.VmListStandIn;

class VmListContractTest {
    private static final VmId FIRST = new VmId("maras-1");
    private static final VmId SECOND = new VmId("maras-2");

    private final AtomicLong nanos = new AtomicLong();
    private VmListStandIn service;
    private PlatformClient client;
    private VmList vms;

    @BeforeEach
    void start() throws IOException {
        service = new VmListStandIn(0, nanos::get);
        client = PlatformClient.open(new PlatformClient.Timeouts(2_000, 400));
        vms = new HttpVmList(client, service.uri());
    }

    @AfterEach
    void stop() {
        client.close();
        service.close();
    }

    @Test
    void readReturnsLiveAndLeavingVms() throws IOException {
        service.setListing(new VmListStandIn.Listing(List.of("maras-1"), List.of("maras-2")));

        assertThat(vms.read()).isEqualTo(new VmList.Listing(List.of(FIRST), List.of(SECOND)));
    }

    @Test
    void changeIsVisibleOnlyAfterTheLag() throws IOException {
        service.setFaults(new VmListFaults(false, false, 0, 5_000));
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(10));
        service.setListing(new VmListStandIn.Listing(List.of("maras-1"), List.of()));

        assertThat(vms.read().live()).isEmpty();
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(5));
        assertThat(vms.read().live()).containsExactly(FIRST);
    }

    /** Faults under which a read fails. */
    static Stream<VmListFaults> readFaults() {
        return Stream.of(
                new VmListFaults(true, false, 0, 0),
                new VmListFaults(false, true, 0, 0),
                new VmListFaults(false, false, 60_000, 0));
    }

    @ParameterizedTest
    @MethodSource("readFaults")
    void failedReadThrowsIoException(VmListFaults faults) {
        service.setFaults(faults);

        assertThatThrownBy(vms::read).isInstanceOf(IOException.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Not Valid", "", "ümlaut"})
    void invalidVmNameThrowsIoException(String name) {
        service.setListing(new VmListStandIn.Listing(List.of(name), List.of()));

        assertThatThrownBy(vms::read).isInstanceOf(IOException.class).hasMessageContaining("not valid");
    }
}
