package org.lacewingthread.daemon.router;

import org.lacewingthread.core.keyrange.RangeCoordinator;
import org.lacewingthread.core.membership.LeadAbility;
import org.lacewingthread.core.membership.LeadMonitor;
import org.lacewingthread.core.registry.ServerRegistry;
import org.lacewingthread.daemon.events.EventLog;

/** Leaves the lead to others if this VM can't carry it and another VM could. Runs on the control thread. */
final class LeadKeeper {
    private static final int PROCESSORS = Runtime.getRuntime().availableProcessors();

    private final RangeCoordinator coordinator;
    private final ServerRegistry registry;
    private final Platform platform;
    private final EntryVmDirectory directory;
    private final EventLog events;
    private final String vm;
    /** Time after which a VM that got the lead back, since no other one took it, leaves it again. */
    private static final long GIVE_UP_INTERVAL_MILLIS = 20_000;

    private final LeadMonitor monitor = new LeadMonitor();
    private boolean couldLead = true;
    private long nextGiveUpMillis = Long.MIN_VALUE / 2;
    private boolean yields;

    LeadKeeper(
            RangeCoordinator coordinator,
            ServerRegistry registry,
            Platform platform,
            EntryVmDirectory directory,
            EventLog events,
            String vm) {
        this.coordinator = coordinator;
        this.registry = registry;
        this.platform = platform;
        this.directory = directory;
        this.events = events;
        this.vm = vm;
    }

    /** Returns whether this VM could carry the lead. */
    LeadAbility ability() {
        return new LeadAbility(monitor.couldLead(), PROCESSORS, platform.canJoinLeaderGroup());
    }

    /** Returns whether this VM leads and leaves the lead to others, so that any of them may take over. */
    boolean yields() {
        return yields;
    }

    /** Records a turn of the control loop. */
    void onTurn(long nowMillis) {
        boolean leading = coordinator.isLeading();
        monitor.onTurn(
                leading,
                nowMillis - registry.currentAsOfMillis(),
                nowMillis - platform.storeAnsweredMillis(),
                nowMillis);
        if (monitor.couldLead() != couldLead) {
            couldLead = monitor.couldLead();
            events.write(
                    "lead.ability",
                    "could_lead",
                    couldLead,
                    "late_turn_share",
                    monitor.lateTurnShare(),
                    "old_registry_share",
                    monitor.oldRegistryShare());
        }
        boolean yieldsNow = leading && !couldLead && directory.knowsAbleVm(vm, nowMillis);
        if (yieldsNow && nowMillis >= nextGiveUpMillis) {
            nextGiveUpMillis = nowMillis + GIVE_UP_INTERVAL_MILLIS;
            events.write(
                    "lead.given-up",
                    "reason",
                    monitor.lateTurnShare() > monitor.oldRegistryShare() ? "LATE_TURNS" : "OLD_REGISTRY",
                    "term",
                    coordinator.table().term());
            platform.giveUpLead();
        }
        yields = yieldsNow;
    }
}
