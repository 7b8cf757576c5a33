package org.lacewingthread.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Map;

/**
 * Faults of a {@link BackendServerStandIn}. A field that is left out of the JSON form has no effect.
 *
 * @param frozen accepts and reads, but acts on nothing and answers nothing; once the field is false
 *     again it goes on with what it has read
 * @param ignoresStartBy runs requests although their start-by time has passed
 * @param shedding refuses every request before running it
 * @param serviceMillis time that a request runs in place of the setting, or null
 * @param serviceMillisByPath the same for requests whose path starts with the key; the longest key wins
 * @param answerFault what becomes of answers to requests that ran
 * @param answerFaultCount how many of the next answers it concerns, 0 for all
 * @param answerDelayMillis delay of {@link AnswerFault#DELAYED}
 * @param state what the server is, as its health tells it: {@code ready}, {@code cold} or {@code leaving}
 * @param reportedLoad load that the health endpoint tells in place of the true one, or null
 * @param healthLagMillis how old the health endpoint's answer may be
 * @param maxConnections connections accepted in place of the setting, or null
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

    /** Fills in what was left out and checks ranges. */
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

    /** Returns these faults with the server frozen or not. */
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

    /** Returns these faults with start-by times ignored or not. */
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

    /** Returns these faults with the server shedding load or not. */
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

    /** Returns these faults with another service time. */
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

    /** Returns these faults with another fault of the next answers; 0 for all of them. */
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

    /** Returns these faults with answers delayed; 0 for all of them. */
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

    /** Returns these faults with another state, load and lag told by the health endpoint. */
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
