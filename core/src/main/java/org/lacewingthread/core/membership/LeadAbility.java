package org.lacewingthread.core.membership;

import java.util.Comparator;

/**
 * Whether a VM could carry the lead, as it reports it.
 *
 * @param couldLead whether nothing that it measured while it led shows that it can't
 * @param processors processors that its process sees, a hint of which VM has more room; at least 1
 * @param canJoin whether it can join the leader group now: it did not leave the group, and the store answers its joins
 */
public record LeadAbility(boolean couldLead, int processors, boolean canJoin) {
    /** Ability of a VM that states none, such as one with an earlier build. */
    public static final LeadAbility UNKNOWN = new LeadAbility(true, 1, true);

    /** Orders abilities, the better one first. */
    public static final Comparator<LeadAbility> BEST_FIRST = Comparator.comparing(LeadAbility::couldLead)
            .thenComparing(LeadAbility::processors)
            .reversed();

    /** Returns whether the VM could take the lead over now. */
    public boolean couldTakeOver() {
        return couldLead && canJoin;
    }

    /**
     * Checks the number of processors.
     *
     * @throws IllegalArgumentException if there is no processor
     */
    public LeadAbility {
        if (processors < 1) {
            throw new IllegalArgumentException("a VM has at least 1 processor, not " + processors);
        }
    }
}
