package org.lacewingthread.core.lease;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.RosterMember;

/** Finds the addresses of entry VMs in the rosters and among VMs that announced themselves by a membership request. */
final class AddressBook {
    private static final int MAX_NEWCOMERS = 256;

    private final VmContext context;
    private final Map<VmStart, RosterMember> newcomers = new LinkedHashMap<>();

    AddressBook(VmContext context) {
        this.context = context;
    }

    /** Records the address of a VM that may not be in a roster. The oldest ones are dropped above a limit. */
    void addNewcomer(RosterMember member) {
        newcomers.remove(member.start());
        newcomers.put(member.start(), member);
        if (newcomers.size() > MAX_NEWCOMERS) {
            newcomers.remove(newcomers.keySet().iterator().next());
        }
    }

    /** Returns the roster entry or announced address of a process, or empty if it is unknown. */
    Optional<RosterMember> find(VmStart vm) {
        return context.state().dataCentres().values().stream()
                .flatMap(d -> d.member(vm).stream())
                .findFirst()
                .or(() -> Optional.ofNullable(newcomers.get(vm)));
    }
}
