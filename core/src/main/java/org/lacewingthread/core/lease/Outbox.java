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

/** Collects the actions of one step. Messages from the VM to itself are queued and handled within the same step. */
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

    /** Adds a message to a peer, or queues it for this VM if it is the addressee. */
    void send(RosterMember addressee, PeerMessage message) {
        if (addressee.start().equals(self)) {
            toSelf.add(message);
        } else {
            actions.add(new ControlAction.SendToPeer(addressee, message));
        }
    }

    /** Adds an audit line about this VM that belongs to no log record. */
    void audit(String kind, String detail) {
        String author = self.vm().value();
        actions.add(new ControlAction.Audit(new AuditLine(LogOffset.NONE, author, 0, kind, true, detail)));
    }

    /** Removes and returns the next message from this VM to itself, or null if there is none. */
    PeerMessage pollToSelf() {
        return toSelf.poll();
    }

    /** Removes and returns the collected actions. */
    List<ControlAction> drain() {
        List<ControlAction> drained = actions;
        actions = new ArrayList<>();
        return drained;
    }
}
