package org.corianderweir.daemon;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.testng.Assert.assertEquals;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/**
 * Tests the boundary of the platform adapter: only the adapter uses the platform's wire names, and
 * it contains no decision logic.
 */
public class PlatformBoundaryTest {
  private static final List<String> WIRE_NAMES =
      List.of(
          "Request-Id", "X-Api-Key", "Server-Stamp", "kv-watch", "op/config", "coldRemainingMs");

  private final JavaClasses classes =
      new ClassFileImporter()
          .withImportOption(location -> !location.contains("/test-classes/"))
          .importPackages("org.corianderweir");

  @Test
  public void adapterDoesNotDependOnDecisionLogic() {
    noClasses()
        .that()
        .resideInAPackage("org.corianderweir.platform..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "org.corianderweir.logic.traffic..",
            "org.corianderweir.daemon..",
            "org.corianderweir.kernel..")
        .check(classes);
  }

  @Test
  public void productContainsNoWireNames() throws IOException {
    List<String> found = new ArrayList<>();
    for (String module : List.of("weirlib", "weirhttp", "weirdaemon", "weirctl")) {
      try (Stream<Path> files = Files.walk(Path.of("..", module, "src", "main"))) {
        for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
          String text = Files.readString(file);
          WIRE_NAMES.stream()
              .filter(text::contains)
              .forEach(name -> found.add(file.getFileName() + ": " + name));
        }
      }
    }
    assertEquals(found, List.of());
  }
}
