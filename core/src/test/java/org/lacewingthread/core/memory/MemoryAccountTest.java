package org.lacewingthread.core.memory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class MemoryAccountTest {
    private static final long MAX_BYTES = 1_000_000;
    private static final long BODY_BYTES = 600_000;

    private final MemoryAccount account = new MemoryAccount(MAX_BYTES);
    private final List<String> decisions = new ArrayList<>();

    private MemoryHolding open(String owner, String name, MemoryUse use, long nowMillis) {
        return account.open(
                owner,
                use,
                new MemoryHolder() {
                    @Override
                    public void onPaused() {
                        decisions.add("pause " + name);
                    }

                    @Override
                    public void onResumed() {
                        decisions.add("resume " + name);
                    }

                    @Override
                    public void onEvicted(EvictionReason reason) {
                        decisions.add(reason.label() + " " + name);
                    }
                },
                nowMillis);
    }

    private MemoryHolding request(String owner, String name, long nowMillis) {
        MemoryHolding holding = open(owner, name, MemoryUse.INCOMPLETE_REQUEST, nowMillis);
        account.expect(holding, BODY_BYTES, nowMillis);
        return holding;
    }

    /** Guards against bodies of which none can be completed because all of them were begun. */
    @Test
    void requestThatDoesNotFitWaitsForTheOneBeforeIt() {
        MemoryHolding first = request("a", "first", 0);
        request("a", "second", 0);
        account.add(first, BODY_BYTES, 10);
        account.change(first, MemoryUse.COMPLETE_REQUEST, 10);
        assertThat(decisions).containsExactly("pause second");
        account.release(first, 20);
        assertThat(decisions).containsExactly("pause second", "resume second");
    }

    /** Guards against a crowd behind one address that keeps the callers of others from being admitted. */
    @Test
    void callerWithTheFewestBytesIsAdmittedFirst() {
        MemoryHolding first = request("crowd", "first", 0);
        account.add(first, 500_000, 0);
        MemoryHolding large = request("crowd", "second", 0);
        request("other", "third", 0);
        account.add(large, 100, 0);
        account.free(first, 300_000, 0);
        account.change(first, MemoryUse.COMPLETE_REQUEST, 0);
        account.release(first, 0);
        assertThat(decisions).containsExactly("pause second", "pause third", "resume third");
    }

    /** Guards against bodies that stop short of their end and keep others waiting. */
    @Test
    void stalledRequestIsGivenUpOnlyWhileOthersWait() {
        MemoryHolding stalled = request("a", "stalled", 0);
        account.add(stalled, BODY_BYTES - 1, 0);
        for (long now = 0; now <= 10_000; now += 100) {
            account.tick(now);
        }
        assertThat(decisions).isEmpty();
        request("b", "waiting", 10_000);
        account.tick(10_100);
        assertThat(decisions).containsExactly("pause waiting", "too-slow stalled", "resume waiting");
    }

    /** Guards against a trickle whose bytes arrive just before each look at its rate. */
    @Test
    void trickleIsGivenUpWhileOthersWait() {
        MemoryHolding trickle = request("a", "trickle", 0);
        request("b", "waiting", 0);
        for (long now = 0; now <= 5_000; now += 100) {
            account.add(trickle, 1, now);
            account.tick(now);
        }
        assertThat(decisions).contains("too-slow trickle", "resume waiting");
    }

    /** Guards against callers that are blamed for time in which this process did not run. */
    @Test
    void timeInWhichTheProcessStoodStillDoesNotCount() {
        account.tick(0);
        request("a", "first", 0);
        request("b", "waiting", 0);
        account.tick(60_000);
        assertThat(decisions).containsExactly("pause waiting");
    }

    /** Guards against whole requests that are given up in favour of unfinished ones. */
    @Test
    void aboveTheBoundTheLargestUnfinishedOfTheLargestOwnerGoes() {
        account.add(open("a", "complete", MemoryUse.COMPLETE_REQUEST, 0), 500_000, 0);
        account.add(open("b", "small", MemoryUse.INCOMPLETE_REQUEST, 0), 100_000, 0);
        account.add(open("b", "large", MemoryUse.INCOMPLETE_RESPONSE, 0), 300_000, 0);
        account.add(open("c", "last", MemoryUse.UNTAKEN_RESPONSE, 0), 200_000, 0);
        assertThat(decisions).containsExactly("exhausted large");
        assertThat(account.heldBytes()).isEqualTo(800_000);
    }

    /** Guards against sums that drift, a bound that does not hold, and requests that wait although all memory is free. */
    @Property(tries = 200)
    void boundHoldsAndNobodyWaitsForFreeMemory(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        MemoryAccount fuzzed = new MemoryAccount(MAX_BYTES);
        List<MemoryHolding> open = new ArrayList<>();
        MemoryHolder ignoring = new MemoryHolder() {
            @Override
            public void onPaused() {}

            @Override
            public void onResumed() {}

            @Override
            public void onEvicted(EvictionReason reason) {}
        };
        for (int step = 0; step < 500; step++) {
            long now = step * 50L;
            if (open.isEmpty() || random.nextInt(3) == 0) {
                MemoryHolding holding =
                        fuzzed.open("o" + random.nextInt(3), MemoryUse.INCOMPLETE_REQUEST, ignoring, now);
                fuzzed.expect(holding, random.nextLong(MAX_BYTES), now);
                open.add(holding);
            }
            MemoryHolding chosen = open.get(random.nextInt(open.size()));
            switch (random.nextInt(5)) {
                case 0 -> fuzzed.change(chosen, MemoryUse.COMPLETE_REQUEST, now);
                case 1 -> fuzzed.release(chosen, now);
                case 2 -> fuzzed.free(chosen, random.nextInt(10_000), now);
                default -> {
                    if (chosen.use == MemoryUse.INCOMPLETE_REQUEST && !chosen.paused) {
                        fuzzed.add(chosen, random.nextInt(100_000), now);
                    }
                }
            }
            fuzzed.tick(now);
            open.removeIf(holding -> holding.released);
            assertThat(fuzzed.heldBytes()).isBetween(0L, MAX_BYTES);
            assertThat(open.stream().mapToLong(MemoryHolding::heldBytes).sum()).isEqualTo(fuzzed.heldBytes());
        }
        List.copyOf(open).forEach(holding -> fuzzed.change(holding, MemoryUse.COMPLETE_REQUEST, 30_000));
        open.forEach(holding -> fuzzed.release(holding, 30_000));
        assertThat(fuzzed.heldBytes()).isZero();
        assertThat(fuzzed.pausedCount()).isZero();
    }
}
