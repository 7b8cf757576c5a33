package org.lacewingthread.core.membership;

import java.util.Comparator;

/**
 * Whether a VM could carry the lead, as it reports it.
 *
 * @param couldLead whether nothing that it measured while it led shows that it can't
 * @param processors processors that its process sees, a hint of which VM has more room; at least 1
 */
public record LeadAbility(boolean couldLead, int processors) {
    /** Ability of a VM that states none, such as one with an earlier build. */
    public static final LeadAbility UNKNOWN = new LeadAbility(true, 1);

    /** Orders abilities, the better one first. */
    public static final Comparator<LeadAbility> BEST_FIRST = Comparator.comparing(LeadAbility::couldLead)
            .thenComparing(LeadAbility::processors)
            .reversed();

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
