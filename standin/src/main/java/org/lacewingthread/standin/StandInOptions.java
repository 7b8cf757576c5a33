package org.lacewingthread.standin;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Command-line options of the form {@code --name value}. Accessors fail if a value is not valid. */
final class StandInOptions {
    private static final int MAX_PORT = 65_535;

    private final Map<String, String> values;

    private StandInOptions(Map<String, String> values) {
        this.values = values;
    }

    /** Parses options; fails if one is unknown, has no value or is repeated. */
    static StandInOptions parse(List<String> args, Set<String> known) {
        Map<String, String> values = new HashMap<>();
        for (int i = 0; i < args.size(); i += 2) {
            String option = args.get(i);
            if (!option.startsWith("--") || !known.contains(option.substring(2))) {
                throw new IllegalArgumentException(
                        "option \"" + option + "\" is not known; known are " + new TreeSet<>(known));
            }
            if (i + 1 == args.size()) {
                throw new IllegalArgumentException("option \"" + option + "\" has no value");
            }
            if (values.put(option.substring(2), args.get(i + 1)) != null) {
                throw new IllegalArgumentException("option \"" + option + "\" is given twice");
            }
        }
        return new StandInOptions(values);
    }

    /** Returns the value of {@code --port}, 0 if it is absent. */
    int port() {
        int port = number("port", 0);
        if (port > MAX_PORT) {
            throw new IllegalArgumentException("port " + port + " is not in 0 to " + MAX_PORT);
        }
        return port;
    }

    int number(String name, int defaultValue) {
        String value = values.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (!value.matches("[0-9]{1,9}")) {
            throw new IllegalArgumentException(
                    "option \"--" + name + "\" has the value \"" + value + "\"; give a whole number");
        }
        return Integer.parseInt(value);
    }

    boolean flag(String name, boolean defaultValue) {
        String value = values.getOrDefault(name, Boolean.toString(defaultValue));
        if (!value.equals("true") && !value.equals("false")) {
            throw new IllegalArgumentException(
                    "option \"--" + name + "\" has the value \"" + value + "\"; give true or false");
        }
        return Boolean.parseBoolean(value);
    }

    String text(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    /** Returns the comma-separated values of an option, none if it is absent. */
    List<String> list(String name) {
        String value = values.get(name);
        return value == null || value.isEmpty() ? List.of() : Arrays.asList(value.split(","));
    }
}
