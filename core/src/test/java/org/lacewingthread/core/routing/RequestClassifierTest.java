package org.lacewingthread.core.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingthread.core.config.TestConfigurations.application;
import static org.lacewingthread.core.config.TestConfigurations.selector;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingthread.core.config.KeySource;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.traffic.ResultCode;

class RequestClassifierTest {
    private final RequestClassifier classifier = RequestClassifier.compile(new RoutingConfiguration(
            List.of(
                    application(
                            "ledger",
                            16,
                            selector("rugs", "/rugs", 1, "GET"),
                            selector("holds", "/rugs/holds", 2, "POST"),
                            selector("yarn", "/yarn", KeySource.Kind.HEADER, "Yarn-Account")),
                    application(
                            "desk",
                            16,
                            selector("rest", "/", KeySource.Kind.QUERY_PARAMETER, "entry"),
                            selector("files", "/files/", 1))),
            List.of()));

    @ParameterizedTest
    @CsvSource({
        "GET,  /rugs/4711,            ,           ledger, rugs,  4711",
        "GET,  /rugs/4711/parts,      ,           ledger, rugs,  4711",
        "GET,  /rugs/47%31%31,        ,           ledger, rugs,  4711",
        "GET,  /%72ugs/4711,          ,           ledger, rugs,  4711",
        "GET,  /rugs/ca%C3%B1ari,     ,           ledger, rugs,  cañari",
        "GET,  /rugs/4711;v=2,        ,           ledger, rugs,  4711",
        "GET,  /rugs;v=2/4711,        ,           ledger, rugs,  4711",
        "GET,  /rugs/a+b,             ,           ledger, rugs,  a+b",
        "GET,  /rugs/...,             ,           ledger, rugs,  ...",
        "POST, /rugs/holds/12,        ,           ledger, holds, 12",
        "GET,  /rugs/holds/12,        ,           ledger, rugs,  holds",
        "PUT,  /yarn,                 ,           ledger, yarn,  dye-7",
        "POST, /rugs/4711,            entry=9,    desk,   rest,  9",
        "GET,  /rugsale,              entry=9,    desk,   rest,  9",
        "GET,  /,                     a=1&entry=a%2Bb+c&x, desk, rest, a+b c",
        "GET,  /x,                    entr%79=9,  desk,   rest,  9",
        "GET,  /files/7,              ,           desk,   files, 7",
        "GET,  /files,                entry=9,    desk,   rest,  9"
    })
    void findsApplicationSelectorAndKey(
            String method, String path, String query, String application, String selector, String key) {
        Classification found = classify(method, path, query, null);

        assertThat(found).isInstanceOfSatisfying(Classification.Matched.class, matched -> {
            assertThat(matched.application().value()).isEqualTo(application);
            assertThat(matched.selector().name()).isEqualTo(selector);
            assertThat(matched.key()).isEqualTo(key);
            assertThat(matched.keyHash()).isEqualTo(KeyHash.of(key));
        });
    }

    @ParameterizedTest
    @CsvSource({
        "GET,  /rugs,                 ,                ,       KEY_MISSING",
        "GET,  /rugs/,                ,                ,       KEY_MISSING",
        "POST, /rugs/holds,           ,                ,       KEY_MISSING",
        "GET,  /x,                    ,                ,       KEY_MISSING",
        "GET,  /x,                    entry=,          ,       KEY_MISSING",
        "GET,  /x,                    entry,           ,       KEY_MISSING",
        "GET,  /x,                    entry=1&entry=2, ,       KEY_MISSING",
        "GET,  /x,                    entry=%zz,       ,       KEY_MISSING",
        "GET,  /x,                    entry=%ff,       ,       KEY_MISSING",
        "GET,  /x,                    entry=%4,        ,       KEY_MISSING",
        "GET,  /rugs/../yarn,         entry=9,         ,       NO_SELECTOR",
        "GET,  /rugs/%2e%2E/yarn,     entry=9,         ,       NO_SELECTOR",
        "GET,  /rugs/..;x/yarn,       entry=9,         ,       NO_SELECTOR",
        "GET,  /./rugs/1,             entry=9,         ,       NO_SELECTOR",
        "GET,  //rugs/1,              entry=9,         ,       NO_SELECTOR",
        "GET,  /rugs%2fholds,         entry=9,         ,       NO_SELECTOR",
        "GET,  /rugs%3Bholds,         entry=9,         ,       NO_SELECTOR",
        "GET,  /rugs%5Cholds,         entry=9,         ,       NO_SELECTOR",
        "GET,  /rugs/%00,             entry=9,         ,       NO_SELECTOR",
        "GET,  /rugs/%c3,             entry=9,         ,       NO_SELECTOR",
        "GET,  rugs,                  entry=9,         ,       NO_SELECTOR",
        "POST, /rugs/4711,            ,                ledger, NO_SELECTOR",
        "GET,  /rugs/4711,            ,                nobody, UNKNOWN_APPLICATION"
    })
    void refusesRequestsThatCannotBeRouted(
            String method, String path, String query, String application, ResultCode expected) {
        assertThat(classify(method, path, query, application))
                .isInstanceOfSatisfying(Classification.Refused.class, refused -> assertThat(refused.code())
                        .as(refused.message())
                        .isEqualTo(expected));
    }

    @Test
    void requestThatNamesAnApplicationMatchesOnlyItsSelectors() {
        assertThat(classify("GET", "/rugs/4711", "entry=9", "desk"))
                .isInstanceOfSatisfying(Classification.Matched.class, matched -> assertThat(matched.key())
                        .isEqualTo("9"));
    }

    @Test
    void refusesKeysLongerThan1024Characters() {
        assertThat(classify("GET", "/rugs/" + "k".repeat(1024), "", null)).isInstanceOf(Classification.Matched.class);
        assertThat(classify("GET", "/rugs/" + "k".repeat(1025), "", null)).isInstanceOf(Classification.Refused.class);
    }

    /** Published test vectors of xxHash64 with seed 0: the hash determines the owner of a key and must never change. */
    @ParameterizedTest
    @CsvSource({"'', ef46db3751d8e999", "a, d24ec4f1a98c6e5b", "abc, 44bc2cf5ad770999"})
    void hashesKeysByXxHash64(String key, String expected) {
        assertThat(Long.toHexString(KeyHash.of(key))).isEqualTo(expected);
    }

    private Classification classify(String method, String path, String query, String application) {
        Map<String, String> headers = Map.of("Yarn-Account", "dye-7");
        return classifier.classify(method, path, query == null ? "" : query, headers::get, application);
    }
}
