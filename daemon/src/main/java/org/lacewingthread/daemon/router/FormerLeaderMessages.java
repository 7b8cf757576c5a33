package org.lacewingthread.daemon.router;

import java.util.Optional;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.keyrange.Leader;
import org.lacewingthread.core.keyrange.RangeCoordinator;

/** Tells former leaders of a new term, and answers when this process was one. Runs on the control thread. */
final class FormerLeaderMessages implements ReportChannel.TermListener {
    private final VmStart self;
    private final RangeCoordinator coordinator;
    private final ControlClock clock;

    FormerLeaderMessages(VmStart self, RangeCoordinator coordinator, ControlClock clock) {
        this.self = self;
        this.coordinator = coordinator;
        this.clock = clock;
    }

    /** Tells the former leaders that have not answered yet of the present term. */
    void announceTerm(ReportChannel reportChannel) {
        coordinator
                .formerLeadersToNotify()
                .forEach(former -> reportChannel.announceNewTerm(
                        former, coordinator.table().term()));
    }

    @Override
    public Optional<VmStart> confirmNotLeadingBefore(long term) {
        coordinator.onNewTerm(term);
        return coordinator.isLeading() ? Optional.empty() : Optional.of(self);
    }

    @Override
    public void onNotLeading(VmStart process, long beforeTerm) {
        long nowMillis = clock.nowMillis();
        for (Leader former : coordinator.formerLeadersToNotify()) {
            if (former.process().vm().equals(process.vm())) {
                coordinator.onFormerLeaderStopped(former.process(), beforeTerm, nowMillis);
            }
        }
    }
}
