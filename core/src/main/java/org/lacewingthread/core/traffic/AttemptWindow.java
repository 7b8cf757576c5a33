package org.lacewingthread.core.traffic;

import java.util.Arrays;

/**
 * Counts first and extra attempts in a sliding window of {@link #SLICES} slices. The oldest slice lies partly outside the
 * window; it counts for the extra attempts only, so that the window is never exceeded.
 */
final class AttemptWindow {
    /** Slices of a window. */
    static final int SLICES = 20;

    private final long sliceMillis;
    private final int[] firsts = new int[SLICES + 1];
    private final int[] extras = new int[SLICES + 1];
    private long currentSlice = Long.MIN_VALUE;

    AttemptWindow(long windowMillis) {
        this.sliceMillis = windowMillis / SLICES;
    }

    void countFirst(long nowMillis) {
        firsts[indexAt(nowMillis)]++;
    }

    void countExtra(long nowMillis) {
        extras[indexAt(nowMillis)]++;
    }

    /** Returns the first attempts of the slices that lie wholly within the window. */
    int firsts(long nowMillis) {
        int current = indexAt(nowMillis);
        int oldest = (current + 1) % firsts.length;
        return Arrays.stream(firsts).sum() - firsts[oldest];
    }

    /** Returns the extra attempts of all slices that lie at least partly within the window. */
    int extras(long nowMillis) {
        indexAt(nowMillis);
        return Arrays.stream(extras).sum();
    }

    /** Returns the index of the slice of a time, and clears the slices since the newest one. */
    private int indexAt(long nowMillis) {
        long slice = Math.max(currentSlice, Math.floorDiv(nowMillis, sliceMillis));
        long first = Math.max(currentSlice + 1, slice - firsts.length + 1);
        for (long passed = first; passed <= slice; passed++) {
            int index = Math.floorMod(passed, firsts.length);
            firsts[index] = 0;
            extras[index] = 0;
        }
        currentSlice = slice;
        return Math.floorMod(slice, firsts.length);
    }
}
