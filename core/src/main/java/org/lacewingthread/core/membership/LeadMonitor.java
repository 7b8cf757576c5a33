package org.lacewingthread.core.membership;

/**
 * Measures whether a VM can carry the lead: a leader whose control loop runs late, or that reads the registry late although
 * the store answers, moves keys too late and lets requests be refused. A verdict stays for {@link #MIN_VERDICT_MILLIS}, so
 * that the lead does not go to and fro.
 *
 * <pre>{@code
 * monitor.onTurn(leading, registryAgeMillis, storeSilenceMillis, nowMillis);   // at each turn of the control loop
 * if (!monitor.couldLead()) { ... }
 * }</pre>
 *
 * <p>Times are in milliseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class LeadMonitor {
    /** Shortest time between two changes of the verdict. */
    public static final long MIN_VERDICT_MILLIS = 120_000;

    /** Time between two turns from which the later one is late; a leader's turns are 20 ms apart. */
    static final long LATE_TURN_MILLIS = 100;
    /** Age of the registry view from which it is old; a leader reads the registry every 200 ms. */
    static final long OLD_REGISTRY_MILLIS = 1_000;
    /** Silence of the store from which it, and not this VM, may be why the view is old. */
    private static final long MAX_STORE_SILENCE_MILLIS = 800;
    /** Time over which the shares of late turns and of an old view are smoothed. */
    private static final double SMOOTHING_MILLIS = 4_000;
    /** Longest time that one turn stands for, so that a single pause of the process is no verdict. */
    private static final long MAX_TURN_WEIGHT_MILLIS = 500;
    /** Share of late time from which a VM can't carry the lead. */
    private static final double MAX_LATE_SHARE = 0.5;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private boolean couldLead = true;
    private double lateTurnShare;
    private double oldRegistryShare;
    private long lastTurnMillis = NEVER_MILLIS;
    private long verdictMillis = NEVER_MILLIS;

    /**
     * Records a turn of the control loop; those of a VM that does not lead are not measured.
     *
     * @param registryAgeMillis age of this VM's view of the registry
     * @param storeSilenceMillis time since the store last answered this VM
     */
    public void onTurn(boolean leading, long registryAgeMillis, long storeSilenceMillis, long nowMillis) {
        if (!leading) {
            lastTurnMillis = NEVER_MILLIS;
            lateTurnShare = 0;
            oldRegistryShare = 0;
            couldLead |= nowMillis - verdictMillis >= MIN_VERDICT_MILLIS;
            return;
        }
        boolean isFirstTurn = lastTurnMillis == NEVER_MILLIS;
        long gapMillis = isFirstTurn ? 0 : nowMillis - lastTurnMillis;
        lastTurnMillis = nowMillis;
        double weight = Math.min(gapMillis, MAX_TURN_WEIGHT_MILLIS) / SMOOTHING_MILLIS;
        boolean registryOld = registryAgeMillis > OLD_REGISTRY_MILLIS && storeSilenceMillis < MAX_STORE_SILENCE_MILLIS;
        lateTurnShare += weight * ((gapMillis > LATE_TURN_MILLIS ? 1 : 0) - lateTurnShare);
        oldRegistryShare += weight * ((registryOld ? 1 : 0) - oldRegistryShare);
        boolean late = Math.max(lateTurnShare, oldRegistryShare) > MAX_LATE_SHARE;
        if (couldLead == late && nowMillis - verdictMillis >= MIN_VERDICT_MILLIS) {
            couldLead = !late;
            verdictMillis = nowMillis;
        }
    }

    /** Returns whether nothing shows that this VM can't carry the lead. */
    public boolean couldLead() {
        return couldLead;
    }

    /** Returns the share of the time of late that was spent in late turns, from 0 to 1. */
    public double lateTurnShare() {
        return lateTurnShare;
    }

    /** Returns the share of the time of late with an old view of the registry although the store answered, from 0 to 1. */
    public double oldRegistryShare() {
        return oldRegistryShare;
    }
}
