package org.lacewingthread.bench;

import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Counts and latencies of outcomes by kind of request. Safe for use by several threads. */
final class LoadReport {
    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(2);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;

    private final long deadlineMicros;
    private final Map<String, Lines> byKind = new TreeMap<>();
    private long mismatchedAnswers;

    /** Outcomes of one kind of request. */
    private static final class Lines {
        private final Histogram succeeded = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        private final Histogram failed = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        private final Map<String, Long> byCode = new TreeMap<>();
        private long withinDeadline;
    }

    LoadReport(int deadlineMillis) {
        deadlineMicros = TimeUnit.MILLISECONDS.toMicros(deadlineMillis);
    }

    synchronized void add(String kind, PlannedRequest.Outcome outcome) {
        Lines lines = byKind.computeIfAbsent(kind, key -> new Lines());
        long micros = Math.min(MAX_LATENCY_MICROS, Math.max(0, outcome.latencyMicros()));
        (outcome.success() ? lines.succeeded : lines.failed).recordValue(micros);
        lines.byCode.merge(outcome.code(), 1L, Long::sum);
        if (outcome.success() && micros <= deadlineMicros) {
            lines.withinDeadline++;
        }
        if (!outcome.ownAnswer()) {
            mismatchedAnswers++;
        }
    }

    synchronized long mismatchedAnswers() {
        return mismatchedAnswers;
    }

    synchronized void print(PrintStream out, double seconds) {
        Histogram succeeded = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        Histogram failed = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        long inTime = 0;
        for (Map.Entry<String, Lines> entry : byKind.entrySet()) {
            Lines lines = entry.getValue();
            succeeded.add(lines.succeeded);
            failed.add(lines.failed);
            inTime += lines.withinDeadline;
            printLine(out, entry.getKey(), lines.succeeded, lines.failed, lines.withinDeadline / seconds);
            out.println("    results " + lines.byCode);
        }
        printLine(out, "total", succeeded, failed, inTime / seconds);
        out.println("    answers to other requests: " + mismatchedAnswers);
    }

    private static void printLine(
            PrintStream out, String name, Histogram succeeded, Histogram failed, double goodputPerSecond) {
        out.printf(
                "%-15s goodput %.0f/s  succeeded %d %s  failed %d %s%n",
                name,
                goodputPerSecond,
                succeeded.getTotalCount(),
                percentiles(succeeded),
                failed.getTotalCount(),
                percentiles(failed));
    }

    private static String percentiles(Histogram histogram) {
        if (histogram.getTotalCount() == 0) {
            return "";
        }
        return String.format(
                "[ms p50 %.2f p99 %.2f p99.9 %.2f max %.2f]",
                histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(99) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(99.9) / MICROS_PER_MILLI,
                histogram.getMaxValue() / MICROS_PER_MILLI);
    }
}
