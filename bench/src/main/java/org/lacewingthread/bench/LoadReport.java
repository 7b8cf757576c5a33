package org.lacewingthread.bench;

import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Counts and latencies of request outcomes by kind of request. This class is thread-safe. */
final class LoadReport {
    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(2);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;

    private final long deadlineMicros;
    private final Map<String, KindStatistics> byKind = new TreeMap<>();
    private long mismatchedAnswers;

    /** Outcomes of one kind of request. */
    private static final class KindStatistics {
        private final Histogram succeeded = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        private final Histogram failed = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        private final Map<String, Long> byCode = new TreeMap<>();
        private long withinDeadline;
    }

    LoadReport(int deadlineMillis) {
        deadlineMicros = TimeUnit.MILLISECONDS.toMicros(deadlineMillis);
    }

    synchronized void add(String kind, PlannedRequest.Outcome outcome) {
        KindStatistics statistics = byKind.computeIfAbsent(kind, key -> new KindStatistics());
        long micros = Math.min(MAX_LATENCY_MICROS, Math.max(0, outcome.latencyMicros()));
        (outcome.success() ? statistics.succeeded : statistics.failed).recordValue(micros);
        statistics.byCode.merge(outcome.code(), 1L, Long::sum);
        if (outcome.success() && micros <= deadlineMicros) {
            statistics.withinDeadline++;
        }
        if (!outcome.matchesRequest()) {
            mismatchedAnswers++;
        }
    }

    synchronized long mismatchedAnswers() {
        return mismatchedAnswers;
    }

    synchronized void print(PrintStream out, double seconds) {
        Histogram succeeded = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        Histogram failed = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        long withinDeadline = 0;
        for (Map.Entry<String, KindStatistics> entry : byKind.entrySet()) {
            KindStatistics statistics = entry.getValue();
            succeeded.add(statistics.succeeded);
            failed.add(statistics.failed);
            withinDeadline += statistics.withinDeadline;
            printLine(
                    out, entry.getKey(), statistics.succeeded, statistics.failed, statistics.withinDeadline / seconds);
            out.println("    results " + statistics.byCode);
        }
        printLine(out, "total", succeeded, failed, withinDeadline / seconds);
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
