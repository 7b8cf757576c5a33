package org.lacewingthread.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks the messages of all calls of {@link System.Logger} in the main source code of all modules. */
class LogMessageFormatTest {
    private static final Path ROOT = Path.of("..");
    private static final List<String> MODULES = List.of("core", "standin", "daemon", "platform", "bench");
    private static final Pattern LOGGER = Pattern.compile("System\\.getLogger\\(");
    private static final Pattern LOG_CALL_START = Pattern.compile("\\b\\w+\\s*\\.log\\(\\s*[\\w.]*,");
    private static final Pattern LITERAL = Pattern.compile("\"((?:[^\"\\\\]|\\\\.)*+)\"");

    /** A whole call with a message that is a literal or begins with one. */
    private static final Pattern LOG_CALL = Pattern.compile(
            LOG_CALL_START.pattern() + "\\s*" + LITERAL.pattern() + "(?:" + LITERAL.pattern() + "|[^\";])*+;");

    private static final Pattern PARAMETER = Pattern.compile("\\{\\d");

    private static List<String> readLoggingSources() throws IOException {
        List<String> sources = new ArrayList<>();
        for (String module : MODULES) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(module).resolve("src/main/java"))) {
                for (Path file :
                        files.filter(path -> path.toString().endsWith(".java")).toList()) {
                    sources.add(Files.readString(file));
                }
            }
        }
        sources.removeIf(source -> !LOGGER.matcher(source).find());
        return sources;
    }

    private static List<String> findAll(Pattern pattern, List<String> sources) {
        return sources.stream()
                .flatMap(source -> pattern.matcher(source).results())
                .map(MatchResult::group)
                .toList();
    }

    private static boolean losesAnApostrophe(String call) {
        String text =
                LITERAL.matcher(call).results().map(literal -> literal.group(1)).collect(Collectors.joining());
        return PARAMETER.matcher(text).find() && text.replace("''", "").contains("'");
    }

    /** Guards against parameters that aren't filled in because an apostrophe starts quoted text in MessageFormat. */
    @Test
    void logMessagesWithParametersDoubleTheirApostrophes() throws IOException {
        List<String> sources = readLoggingSources();
        List<String> calls = findAll(LOG_CALL, sources);
        assertThat(calls).isNotEmpty().hasSameSizeAs(findAll(LOG_CALL_START, sources));
        assertThat(calls).filteredOn(LogMessageFormatTest::losesAnApostrophe).isEmpty();
    }
}
