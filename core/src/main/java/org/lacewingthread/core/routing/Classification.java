package org.lacewingthread.core.routing;

import org.lacewingthread.core.config.RequestSelector;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.traffic.ResultCode;

/** Result of classifying a request with {@link RequestClassifier}. */
public sealed interface Classification {
    /**
     * The request belongs to an application and carries a key.
     *
     * @param application application that the request belongs to
     * @param selector selector that matched the request
     * @param key key of the request, percent-decoded unless it comes from a header
     * @param keyHash {@link KeyHash} of the key
     */
    record Matched(ApplicationId application, RequestSelector selector, String key, long keyHash)
            implements Classification {}

    /**
     * The request cannot be routed.
     *
     * @param code result code for the caller
     * @param message what is wrong, quoting the offending value
     */
    record Refused(ResultCode code, String message) implements Classification {}
}
