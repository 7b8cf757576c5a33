package org.lacewingthread.core.lease;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.lacewingthread.core.control.AuditLine;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.PeerMessage;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.RosterMember;

/** Collects the actions of one step. Messages that a VM sends to itself are handed back to it instead. */
final class Outbox {
    private final VmStart self;
    private final Deque<PeerMessage> toSelf = new ArrayDeque<>();
    private List<ControlAction> actions = new ArrayList<>();

    Outbox(VmStart self) {
        this.self = self;
    }

    void add(ControlAction action) {
        actions.add(action);
    }

    void send(RosterMember addressee, PeerMessage message) {
        if (addressee.start().equals(self)) {
            toSelf.add(message);
        } else {
            actions.add(new ControlAction.SendToPeer(addressee, message));
        }
    }

    void audit(String kind, String detail) {
        String author = self.vm().value();
        actions.add(new ControlAction.Audit(new AuditLine(LogOffset.NONE, author, 0, kind, true, detail)));
    }

    /** Returns the next message to this VM itself, or null. */
    PeerMessage pollToSelf() {
        return toSelf.poll();
    }

    /** Returns the collected actions and starts anew. */
    List<ControlAction> drain() {
        List<ControlAction> drained = actions;
        actions = new ArrayList<>();
        return drained;
    }
}
