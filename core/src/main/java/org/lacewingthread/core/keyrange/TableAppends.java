package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

/**
 * The appends of this process to the log of range tables. At most one call is under way. An append without answer may
 * have been carried out, or may be carried out later; it is unresolved until the log is known to have grown, and until
 * then only the same table is appended again.
 */
final class TableAppends {
    /** Delay after an append that was refused or got no answer. */
    private static final long RETRY_MILLIS = 200;

    private Optional<CoordinatorAction.RecordTable> unresolved = Optional.empty();
    /** Tables whose appends were unresolved when the store's era changed. */
    private final List<RangeTable> unresolvedOfFormerEras = new ArrayList<>();

    private boolean callPending;
    /** Whether an earlier call with the unresolved table got no answer. */
    private boolean mayHaveBeenAppended;

    private long askedMillis;
    private long nextCallAtMillis;

    /** Returns whether an append may be sent now. */
    boolean mayCall(long nowMillis) {
        return !callPending && nowMillis >= nextCallAtMillis;
    }

    /** Returns the table whose append has to be repeated; empty if another one may be proposed. */
    Optional<RangeTable> tableToRepeat() {
        return unresolved.map(CoordinatorAction.RecordTable::table);
    }

    /** Records that an append is sent, and returns it. */
    CoordinatorAction.RecordTable start(RangeTable table, long logEnd, long nowMillis) {
        callPending = true;
        askedMillis = nowMillis;
        mayHaveBeenAppended &= unresolved.isPresent();
        CoordinatorAction.RecordTable append = new CoordinatorAction.RecordTable(table, logEnd);
        unresolved = Optional.of(append);
        return append;
    }

    /** Returns when the newest append was sent. */
    long askedMillis() {
        return askedMillis;
    }

    /** Records the result of the append under way. */
    void onResult(AppendResult result, long nowMillis) {
        callPending = false;
        nextCallAtMillis = result.outcome() == AppendResult.Outcome.RECORDED ? nowMillis : nowMillis + RETRY_MILLIS;
        mayHaveBeenAppended |= result.outcome() == AppendResult.Outcome.UNKNOWN;
        if (result.outcome() == AppendResult.Outcome.REFUSED && !mayHaveBeenAppended) {
            unresolved = Optional.empty();
        }
    }

    /** Records the end of the log. An append takes effect only at its expected end, so a later end resolves it. */
    void onLogEnd(long logEnd) {
        if (unresolved.filter(append -> logEnd > append.expectedEnd()).isPresent()) {
            unresolved = Optional.empty();
            mayHaveBeenAppended = false;
        }
    }

    /** Records that the store's era changed, so that an unresolved append is not repeated; it may have taken effect. */
    void onNewEra() {
        tableToRepeat().ifPresent(unresolvedOfFormerEras::add);
        unresolved = Optional.empty();
        mayHaveBeenAppended = false;
    }

    /** Forgets the appends of former eras, since a table of the newest era is known. */
    void forgetFormerEras() {
        unresolvedOfFormerEras.clear();
    }

    /** Returns whether an unresolved append gives a key of the range to another owner. */
    boolean mayReplaceOwner(ServiceId service, KeyRange range, ServerStart owner) {
        return Stream.concat(tableToRepeat().stream(), unresolvedOfFormerEras.stream())
                .flatMap(planned -> planned.ranges(service).stream())
                .anyMatch(planned ->
                        planned.range().overlaps(range) && !planned.owner().equals(owner));
    }
}
