package org.lacewingthread.core.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.control.PlanUpdate;
import org.lacewingthread.core.control.RoutePlan;

/** Computes and applies differences between route plans. */
final class PlanUpdates {
    private PlanUpdates() {}

    /** Returns an update that contains a whole plan. */
    static PlanUpdate whole(RoutePlan plan) {
        return new PlanUpdate(
                plan.term(),
                PlanUpdate.WHOLE_PLAN,
                plan.version(),
                plan.dispatchers(),
                List.of(),
                plan.owners(),
                List.of());
    }

    /** Returns the difference between two plans of the same term. */
    static PlanUpdate between(RoutePlan from, RoutePlan to) {
        return new PlanUpdate(
                to.term(),
                from.version(),
                to.version(),
                changed(from.dispatchers(), to.dispatchers()),
                removed(from.dispatchers(), to.dispatchers()),
                changed(from.owners(), to.owners()),
                removed(from.owners(), to.owners()));
    }

    /** Returns the plan after an update, or empty if the update does not apply to the current plan. */
    static Optional<RoutePlan> apply(Optional<RoutePlan> current, PlanUpdate update) {
        if (update.fromVersion() == PlanUpdate.WHOLE_PLAN) {
            RoutePlan plan = new RoutePlan(update.term(), update.toVersion(), update.dispatchers(), update.owners());
            return Optional.of(plan).filter(p -> current.isEmpty() || p.supersedes(current.get()));
        }
        return current.filter(p -> p.term().equals(update.term()) && p.version() == update.fromVersion())
                .map(p -> new RoutePlan(
                        p.term(),
                        update.toVersion(),
                        patched(p.dispatchers(), update.dispatchers(), update.removedDispatchers()),
                        patched(p.owners(), update.owners(), update.removedOwners())));
    }

    private static <K, V> Map<K, V> changed(Map<K, V> from, Map<K, V> to) {
        Map<K, V> changed = new HashMap<>();
        to.forEach((key, value) -> {
            if (!value.equals(from.get(key))) {
                changed.put(key, value);
            }
        });
        return changed;
    }

    /** Returns the removed keys, sorted because the iteration order of immutable maps differs between processes. */
    private static <K extends Comparable<K>, V> List<K> removed(Map<K, V> from, Map<K, V> to) {
        return from.keySet().stream().filter(k -> !to.containsKey(k)).sorted().toList();
    }

    private static <K, V> Map<K, V> patched(Map<K, V> base, Map<K, V> changed, List<K> removed) {
        Map<K, V> patched = new HashMap<>(base);
        patched.keySet().removeAll(removed);
        patched.putAll(changed);
        return patched;
    }
}
