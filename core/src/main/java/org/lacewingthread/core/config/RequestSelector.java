package org.lacewingthread.core.config;

import java.util.List;

/**
 * Rule that assigns requests to an application and defines their class and key.
 *
 * @param name name of the selector, unique within the application
 * @param methods HTTP methods that match; empty if all methods match
 * @param pathPrefix prefix of the path that matches, by whole segments: {@code /rugs} matches {@code
 *     /rugs/4711} but not {@code /rugsale}; the longest matching prefix of all applications applies
 * @param requestClass class of matching requests
 * @param key part of matching requests that carries the key
 */
public record RequestSelector(
        String name, List<String> methods, String pathPrefix, RequestClass requestClass, KeySource key) {
    /**
     * Checks the values and copies the list.
     *
     * @throws IllegalArgumentException if a value is missing, or the path prefix does not start with a slash
     */
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
