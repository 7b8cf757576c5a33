package org.lacewingthread.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Map;

/**
 * Faults of a {@link BackendServerStandIn}. A field left out of the JSON form keeps its default, which is no fault.
 *
 * @param frozen the server accepts connections and reads requests, but neither runs nor answers them; once
 *     the field is false again, it processes the requests that it has read
 * @param ignoresStartBy the server runs requests and lease orders after their start-by time
 * @param shedding the server refuses every request without running it
 * @param serviceMillis service time of a request, or null for the one in the settings
 * @param serviceMillisByPath service time by path prefix; the longest matching prefix applies
 * @param answerFault fault applied to answers to requests that ran
 * @param answerFaultCount number of next answers to which the fault applies, 0 for all
 * @param answerDelayMillis delay of answers with {@link AnswerFault#DELAYED}
 * @param state state that the health endpoint reports: {@code ready}, {@code cold} or {@code leaving}
 * @param reportedLoad load that the health endpoint reports, or null for the actual load
 * @param healthLagMillis how long the health endpoint repeats a computed answer before it computes a new one
 * @param maxConnections limit of open connections, or null for the one in the settings
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record BackendFaults(
        boolean frozen,
        boolean ignoresStartBy,
        boolean shedding,
        Long serviceMillis,
        Map<String, Long> serviceMillisByPath,
        AnswerFault answerFault,
        int answerFaultCount,
        long answerDelayMillis,
        HealthState state,
        Double reportedLoad,
        long healthLagMillis,
        Integer maxConnections) {
    /** No faults. */
    public static final BackendFaults NONE = new BackendFaults(
            false, false, false, null, Map.of(), AnswerFault.NONE, 0, 0, HealthState.READY, null, 0, null);

    /** Replaces missing values by their defaults and checks the ranges. */
    public BackendFaults {
        serviceMillisByPath = serviceMillisByPath == null ? Map.of() : Map.copyOf(serviceMillisByPath);
        answerFault = answerFault == null ? AnswerFault.NONE : answerFault;
        state = state == null ? HealthState.READY : state;
        Checks.requireNonNegative("serviceMillis", serviceMillis == null ? 0 : serviceMillis);
        serviceMillisByPath.forEach(
                (path, millis) -> Checks.requireNonNegative("serviceMillisByPath of " + path, millis));
        Checks.requireNonNegative("answerFaultCount", answerFaultCount);
        Checks.requireNonNegative("answerDelayMillis", answerDelayMillis);
        Checks.requireNonNegative("healthLagMillis", healthLagMillis);
        Checks.requirePositive("maxConnections", maxConnections == null ? 1 : maxConnections);
    }

    /** Returns a copy with another value of {@code frozen}. */
    public BackendFaults withFrozen(boolean value) {
        return new BackendFaults(
                value,
                ignoresStartBy,
                shedding,
                serviceMillis,
                serviceMillisByPath,
                answerFault,
                answerFaultCount,
                answerDelayMillis,
                state,
                reportedLoad,
                healthLagMillis,
                maxConnections);
    }

    /** Returns a copy with another value of {@code ignoresStartBy}. */
    public BackendFaults withIgnoresStartBy(boolean value) {
        return new BackendFaults(
                frozen,
                value,
                shedding,
                serviceMillis,
                serviceMillisByPath,
                answerFault,
                answerFaultCount,
                answerDelayMillis,
                state,
                reportedLoad,
                healthLagMillis,
                maxConnections);
    }

    /** Returns a copy with another value of {@code shedding}. */
    public BackendFaults withShedding(boolean value) {
        return new BackendFaults(
                frozen,
                ignoresStartBy,
                value,
                serviceMillis,
                serviceMillisByPath,
                answerFault,
                answerFaultCount,
                answerDelayMillis,
                state,
                reportedLoad,
                healthLagMillis,
                maxConnections);
    }

    /** Returns a copy with another service time. */
    public BackendFaults withServiceMillis(long value) {
        return new BackendFaults(
                frozen,
                ignoresStartBy,
                shedding,
                value,
                serviceMillisByPath,
                answerFault,
                answerFaultCount,
                answerDelayMillis,
                state,
                reportedLoad,
                healthLagMillis,
                maxConnections);
    }

    /** Returns a copy with another fault for the next answers; a count of 0 applies it to all answers. */
    public BackendFaults withAnswerFault(AnswerFault fault, int count) {
        return new BackendFaults(
                frozen,
                ignoresStartBy,
                shedding,
                serviceMillis,
                serviceMillisByPath,
                fault,
                count,
                answerDelayMillis,
                state,
                reportedLoad,
                healthLagMillis,
                maxConnections);
    }

    /** Returns a copy that delays the next answers; a count of 0 delays all answers. */
    public BackendFaults withDelayedAnswers(long delayMillis, int count) {
        return new BackendFaults(
                frozen,
                ignoresStartBy,
                shedding,
                serviceMillis,
                serviceMillisByPath,
                AnswerFault.DELAYED,
                count,
                delayMillis,
                state,
                reportedLoad,
                healthLagMillis,
                maxConnections);
    }

    /** Returns a copy with another state, reported load and lag of the health endpoint. */
    public BackendFaults withHealth(HealthState newState, Double load, long lagMillis) {
        return new BackendFaults(
                frozen,
                ignoresStartBy,
                shedding,
                serviceMillis,
                serviceMillisByPath,
                answerFault,
                answerFaultCount,
                answerDelayMillis,
                newState,
                load,
                lagMillis,
                maxConnections);
    }
}
