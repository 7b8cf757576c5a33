package org.lacewingthread.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous hashing: each candidate gets a score for a key, and the candidate with the highest score is chosen.
 * The loss of a candidate therefore moves only the keys that were assigned to it.
 */
public final class Rendezvous {
    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final double TWO_POW_MINUS_53 = 0x1.0p-53;

    private Rendezvous() {}

    /** Returns the hash of a name, for use as the hash of a key or a candidate. */
    public static long hash(String name) {
        return HASH.hashChars(name);
    }

    /** Returns a candidate's score for a key, as an unsigned 64-bit number. */
    public static long score(long keyHash, long candidateHash) {
        long mixed = keyHash ^ Long.rotateLeft(candidateHash, 32) * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 33)) * 0xFF51AFD7ED558CCDL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xC4CEB9FE1A85EC53L;
        return mixed ^ (mixed >>> 33);
    }

    /** Returns a candidate's score for a key such that its share of the keys is proportional to its weight. */
    public static double weightedScore(long keyHash, long candidateHash, double weight) {
        double uniform = ((score(keyHash, candidateHash) >>> 11) + 0.5) * TWO_POW_MINUS_53;
        return -weight / Math.log(uniform);
    }

    /** Returns the candidates in descending order of weighted score; equal scores are ordered by name. */
    public static <T> List<T> ranked(
            long keyHash, List<T> candidates, Function<T, String> name, ToDoubleFunction<T> weight) {
        record Scored<T>(T candidate, double score) {}
        return candidates.stream()
                .map(c -> new Scored<>(c, weightedScore(keyHash, hash(name.apply(c)), weight.applyAsDouble(c))))
                .sorted(Comparator.comparingDouble((Scored<T> s) -> s.score())
                        .reversed()
                        .thenComparing(s -> name.apply(s.candidate())))
                .map(Scored::candidate)
                .toList();
    }
}
