package org.lacewingthread.core.config;

import java.util.List;

/**
 * Matches requests to an application and tells their class and key.
 *
 * @param name unique within the application
 * @param methods HTTP methods that match; empty for all
 * @param pathPrefix prefix of the path that matches, by whole segments: {@code /rugs} matches {@code
 *     /rugs/4711} but not {@code /rugsale}; the longest match over all applications wins
 * @param requestClass class of the matching requests
 * @param key where the matching requests carry their key
 */
public record RequestSelector(
        String name, List<String> methods, String pathPrefix, RequestClass requestClass, KeySource key) {
    /** Checks that every part is present. */
    public RequestSelector {
        if (name == null || name.isBlank()) {
            throw new IllegalArgumentException("selector name is missing");
        }
        if (pathPrefix == null || !pathPrefix.startsWith("/")) {
            throw new IllegalArgumentException(
                    "path prefix \"" + pathPrefix + "\" of selector \"" + name + "\" does not start with \"/\"");
        }
        if (requestClass == null || key == null) {
            throw new IllegalArgumentException("selector \"" + name + "\" needs a request class and a key source");
        }
        methods = methods == null ? List.of() : List.copyOf(methods);
    }
}
