package org.lacewingthread.core.log;

import static org.lacewingthread.core.log.LogFixture.CALCA;
import static org.lacewingthread.core.log.LogFixture.LEDGER;
import static org.lacewingthread.core.log.LogFixture.MARAS;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.RandomDistribution;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.id.WriterId;

/** Generates logs from random numbers, with valid, stale, duplicate and unreadable records of every type. */
final class RandomLog {
    private static final List<VmStart> STARTS = List.of(
            LogFixture.M1,
            LogFixture.M2,
            LogFixture.C1,
            LogFixture.start("maras-3", 4),
            LogFixture.start("calca-2", 5));
    private static final long[] HASHES = {0x10L, 0x20L, 0x31L, 0x42L};

    /** Random numbers that determine one record. */
    record Step(int kind, int a, int b, int c) {}

    private final LogFixture log = LogFixture.bootstrapped();

    private RandomLog() {}

    static Arbitrary<List<Step>> steps() {
        Arbitrary<Integer> small = uniform(7);
        return Combinators.combine(uniform(17), small, small, small)
                .as(Step::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(120)
                .withSizeDistribution(RandomDistribution.uniform());
    }

    private static Arbitrary<Integer> uniform(int max) {
        return Arbitraries.integers()
                .between(0, max)
                .withDistribution(RandomDistribution.uniform())
                .withoutEdgeCases();
    }

    static List<LogEntry> entries(List<Step> steps) {
        RandomLog random = new RandomLog();
        steps.forEach(random::append);
        return random.log.entries;
    }

    private void append(Step step) {
        boolean repeat = step.kind == 13;
        LogEntry earlier = log.entries.get((step.a * 8 + step.b) % log.entries.size());
        RecordHeader header = repeat && earlier.header() != null ? earlier.header() : header(step);
        log.append(header, repeat ? earlier.body() : body(step));
    }

    private RecordHeader header(Step step) {
        WriterId writer = new WriterId("writer-" + step.c % 3);
        Long last = log.state().lastSequences().get(writer);
        long sequence = last == null ? 0 : last + 1;
        return new RecordHeader(writer, step.b == 7 ? Math.max(0, sequence - 2) : sequence, "ana", 0);
    }

    private LogRecord body(Step step) {
        DataCentreId dataCentre = step.a % 2 == 0 ? MARAS : CALCA;
        DataCentreId other = step.a % 2 == 0 ? CALCA : MARAS;
        return switch (step.kind) {
            case 0 -> new LogRecord.ConfigurationPublished(
                    baseOf(log.state().configurationRevision(), step), randomConfiguration(step));
            case 1, 2 -> rosterChange(dataCentre, step);
            case 3 -> new LogRecord.LeaderClaimed(
                    dataCentre,
                    baseOf(log.state().dataCentre(dataCentre).claimOffset(), step),
                    STARTS.get(step.c % STARTS.size()));
            case 4, 5, 6, 7 -> assignments(dataCentre, step);
            case 8 -> LogFixture.release(
                    dataCentre, term(dataCentre, step), step.c == 0 ? dataCentre : other, step.b % 4);
            case 9 -> new LogRecord.DataCentreHandedOver(dataCentre, step.c > 2 ? dataCentre : other, "lost");
            case 10 -> new LogRecord.ServerDrainSet(new ServerId("s" + step.b), step.c > 2);
            case 11 -> new LogRecord.VmDrainSet(new VmId("maras-" + step.b % 3), step.c > 2);
            case 12 -> new LogRecord.SnapshotTaken(log.state());
            case 14, 15 -> new LogRecord.KeysSplit(dataCentre, term(dataCentre, step), LEDGER, hashes(step));
            case 16 -> new LogRecord.KeysMerged(dataCentre, term(dataCentre, step), LEDGER, hashes(step));
            case 17 -> new LogRecord.RosterReset(
                    dataCentre,
                    baseOf(log.state().dataCentre(dataCentre).rosterRevision(), step),
                    LogFixture.members(step.c == 0 ? STARTS.get(3) : validStart(dataCentre)),
                    step.b == 6 ? "" : "gone");
            default -> new LogRecord.Unreadable("generated");
        };
    }

    private static LogOffset baseOf(LogOffset current, Step step) {
        return step.b == 5 ? LogOffset.NONE : current;
    }

    private static VmStart validStart(DataCentreId dataCentre) {
        return dataCentre.equals(MARAS) ? LogFixture.M1 : LogFixture.C1;
    }

    private static RoutingConfiguration randomConfiguration(Step step) {
        if (step.c == 0) {
            return LogFixture.configuration(32);
        }
        if (step.c == 1) {
            return RoutingConfiguration.EMPTY;
        }
        return LogFixture.configuration(16, LogFixture.server("s4", step.c > 4 ? MARAS : CALCA, 4));
    }

    private LogRecord rosterChange(DataCentreId dataCentre, Step step) {
        List<RosterMember> members = new ArrayList<>(log.state().roster(dataCentre));
        RosterMember member = LogFixture.member(STARTS.get(step.c % STARTS.size()));
        if (!members.remove(member)) {
            members.add(member);
        }
        return new LogRecord.RosterChanged(
                dataCentre, baseOf(log.state().dataCentre(dataCentre).rosterRevision(), step), members);
    }

    private Term term(DataCentreId id, Step step) {
        DataCentreState dataCentre = log.state().dataCentre(id);
        boolean claimed = step.c < 7 && dataCentre.claimant() != null;
        VmStart leader = claimed ? dataCentre.claimant() : STARTS.get(step.c % STARTS.size());
        return new Term(baseOf(dataCentre.claimOffset(), step), claimed ? 0 : step.c % 3, leader);
    }

    private LogRecord assignments(DataCentreId dataCentre, Step step) {
        Term term = term(dataCentre, step);
        int plan = Math.max(0, log.entries.size() - (step.c == 3 ? 10 : 0));
        String owner = dataCentre.equals(MARAS) ? "s" + (1 + step.b % 2) : step.c == 4 ? "s1" : "s3";
        int index = step.kind == 7 ? 16 + step.b % 4 : step.b % 4;
        return LogFixture.assign(dataCentre, term, LogFixture.assignment(index, owner, term, plan));
    }

    private static List<Long> hashes(Step step) {
        return List.of(HASHES[step.b % HASHES.length]);
    }
}
