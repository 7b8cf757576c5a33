package org.lacewingthread.daemon.demo;

import java.util.Optional;

/**
 * A request of the demo. It keeps its idempotency key when it is sent again.
 *
 * @param method HTTP method
 * @param path path and query, with the key in the path
 * @param key key that selects the shard
 * @param idempotencyKey present if the request must not run twice
 */
record DemoRequest(String method, String path, String key, Optional<String> idempotencyKey) {
    static DemoRequest lookup(String key, long number) {
        return new DemoRequest("GET", "/rugs/" + key + "?n=" + number, key, Optional.empty());
    }

    static DemoRequest hold(String key, long number) {
        return new DemoRequest("POST", "/holds/" + key + "?n=" + number, key, Optional.of("hold-" + number));
    }
}
