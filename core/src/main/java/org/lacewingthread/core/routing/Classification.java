package org.lacewingthread.core.routing;

import org.lacewingthread.core.config.RequestSelector;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.traffic.ResultCode;

/** What {@link RequestClassifier} finds out about a request. */
public sealed interface Classification {
    /**
     * The request belongs to an application and carries a key.
     *
     * @param application the application
     * @param selector the selector that matched
     * @param key the key, with escapes resolved
     * @param keyHash {@link KeyHash} of the key
     */
    record Matched(ApplicationId application, RequestSelector selector, String key, long keyHash)
            implements Classification {}

    /**
     * The request can't be routed.
     *
     * @param code the result for the caller
     * @param message what is wrong, quoting the offending value
     */
    record Refused(ResultCode code, String message) implements Classification {}
}
