package org.lacewingthread.core.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;

class ResultCodeDocsTest {
    private static final Path PAGE = Path.of("..", "docs", "RESULT-CODES.md");

    private static String rowOf(ResultCode code) {
        String knowledge = code.knowledge().name().toLowerCase(Locale.ROOT).replace('_', '-');
        return "| " + code.number() + " | `" + code.name() + "` | " + code.httpStatus() + " | " + knowledge + " | "
                + code.message() + " |";
    }

    @Test
    void pageListsExactlyTheDefinedCodes() throws IOException {
        List<String> rows = Files.readAllLines(PAGE).stream()
                .filter(line -> line.matches("\\| [0-9]+ \\|.*"))
                .map(row -> row.substring(0, row.lastIndexOf("|", row.length() - 2) + 1))
                .toList();
        assertThat(rows)
                .containsExactlyElementsOf(Arrays.stream(ResultCode.values())
                        .map(ResultCodeDocsTest::rowOf)
                        .toList());
    }

    @Test
    void codeIsFoundByItsUniqueNumber() {
        for (ResultCode code : ResultCode.values()) {
            assertThat(ResultCode.byNumber(code.number())).contains(code);
        }
    }
}
