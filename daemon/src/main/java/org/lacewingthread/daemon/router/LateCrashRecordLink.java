package org.lacewingthread.daemon.router;

import java.util.function.Supplier;
import org.lacewingthread.core.quarantine.CrashRecord;

/** Passes records to a link that is created later, since the control thread's parts need those of the traffic thread. */
final class LateCrashRecordLink implements CrashRecordLink {
    private final Supplier<CrashRecordLink> link;

    LateCrashRecordLink(Supplier<CrashRecordLink> link) {
        this.link = link;
    }

    @Override
    public void publish(CrashRecord changed) {
        link.get().publish(changed);
    }

    @Override
    public void repeat(CrashRecord known) {
        link.get().repeat(known);
    }

    @Override
    public void publishCleared(CrashRecord last) {
        link.get().publishCleared(last);
    }

    @Override
    public void repeatCleared(CrashRecord last) {
        link.get().repeatCleared(last);
    }

    @Override
    public void reserveTrial(CrashRecord withTrial) {
        link.get().reserveTrial(withTrial);
    }
}
