package org.lacewingthread.core.lease;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.RosterMember;

/** Finds the address of an entry VM, in the rosters or among those that introduced themselves. */
final class AddressBook {
    private static final int MAX_NEWCOMERS = 256;

    private final VmContext context;
    private final Map<VmStart, RosterMember> newcomers = new LinkedHashMap<>();

    AddressBook(VmContext context) {
        this.context = context;
    }

    void addNewcomer(RosterMember member) {
        newcomers.remove(member.start());
        newcomers.put(member.start(), member);
        if (newcomers.size() > MAX_NEWCOMERS) {
            newcomers.remove(newcomers.keySet().iterator().next());
        }
    }

    Optional<RosterMember> find(VmStart vm) {
        return context.state().dataCentres().values().stream()
                .flatMap(d -> d.member(vm).stream())
                .findFirst()
                .or(() -> Optional.ofNullable(newcomers.get(vm)));
    }
}
