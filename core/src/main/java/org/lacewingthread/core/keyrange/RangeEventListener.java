package org.lacewingthread.core.keyrange;

import java.util.Set;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

/**
 * Receives the decisions of a {@link RangeCoordinator} that determine which server may hold which keys, for example to
 * log them. The methods are called by the thread that uses the coordinator, must not block and must not call methods of
 * the coordinator that change it. Times are those of the coordinator's clock.
 */
public interface RangeEventListener {
    /** A listener that ignores all events. */
    RangeEventListener NONE = new RangeEventListener() {};

    /** How a leader knows that the former leaders send no more grants. */
    enum StopEvidence {
        /** Each of them answered that it no longer leads, or another process runs in its place. */
        ANSWER,
        /** The time after which a leader without contact to the store takes no action has passed. */
        TIME
    }

    /**
     * Called when the leader starts to grant a moving range to its new owner.
     *
     * @param service service that the keys belong to
     * @param range keys that move
     * @param owner new owner
     * @param formerOwner former owner
     * @param reason why the former owner can't hold the keys any more
     * @param fence fence of the first grant to the new owner
     * @param formerHeldUntilMillis time after which no grant to the former owner can be in force
     * @param nowMillis time of the takeover
     */
    default void onTakeover(
            ServiceId service,
            KeyRange range,
            ServerStart owner,
            ServerStart formerOwner,
            TakeoverReason reason,
            long fence,
            long formerHeldUntilMillis,
            long nowMillis) {}

    /**
     * Called when this process starts to lead in a term.
     *
     * @param term number of the term
     * @param formerLeaders leaders of earlier terms that may still renew grants
     * @param formerLeadersStoppedByMillis time from which they count as stopped even if they don't answer
     * @param nowMillis time at which the term started for this process
     */
    default void onTermStarted(
            long term, Set<Leader> formerLeaders, long formerLeadersStoppedByMillis, long nowMillis) {}

    /**
     * Called when all former leaders count as stopped; not called in a term that starts without former leaders.
     *
     * @param evidence how that is known
     * @param nowMillis time at which it became known
     */
    default void onFormerLeadersStopped(StopEvidence evidence, long nowMillis) {}
}
