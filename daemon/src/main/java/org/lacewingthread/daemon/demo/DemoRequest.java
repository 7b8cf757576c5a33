package org.lacewingthread.daemon.demo;

import java.util.Optional;

/**
 * A request of the demo; tried again under the same id until it is answered or its caller gives up.
 *
 * @param method HTTP method
 * @param path path with the key
 * @param key the key
 * @param idempotencyKey key for repeats, if the request must not repeat
 */
record DemoRequest(String method, String path, String key, Optional<String> idempotencyKey) {
    static DemoRequest lookup(String key, long number) {
        return new DemoRequest("GET", "/rugs/" + key + "?n=" + number, key, Optional.empty());
    }

    static DemoRequest hold(String key, long number) {
        return new DemoRequest("POST", "/holds/" + key + "?n=" + number, key, Optional.of("hold-" + number));
    }
}
