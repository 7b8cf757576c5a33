package org.lacewingthread.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "org.lacewingthread.core", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    @ArchTest
    static final ArchRule coreDoesNoInputOrOutput = noClasses()
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("java.io..", "java.nio.file..", "java.nio.channels..", "java.net..", "java.net.http..");

    @ArchTest
    static final ArchRule coreHasNoThreads = noClasses()
            .should()
            .dependOnClassesThat()
            .haveNameMatching("java\\.lang\\.Thread|java\\.util\\.Timer|java\\.util\\.concurrent\\.(Executor|Scheduled|"
                    + "ForkJoin|CompletableFuture|CountDownLatch).*");

    @ArchTest
    static final ArchRule coreReadsNoClock = noClasses()
            .should()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .dependOnClassesThat()
            .haveNameMatching("java\\.time\\.(Clock|Instant)");

    @ArchTest
    static final ArchRule coreDrawsNoUnseededRandomNumbers = noClasses()
            .should()
            .callMethod(Math.class, "random")
            .orShould()
            .callConstructor(java.util.Random.class)
            .orShould()
            .dependOnClassesThat()
            .haveNameMatching(
                    "java\\.util\\.concurrent\\.ThreadLocalRandom|java\\.security\\.SecureRandom|java\\.util\\.UUID");
}
