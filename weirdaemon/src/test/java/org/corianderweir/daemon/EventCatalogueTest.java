package org.corianderweir.daemon;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.corianderweir.model.timeline.EventCode;
import org.testng.annotations.Test;

/** Tests that docs/EVENTS.md lists all events of the code. */
public class EventCatalogueTest {
  private static final Path DOCUMENT = Path.of("..", "docs", "EVENTS.md");

  @Test
  public void catalogueListsEveryEvent() throws IOException {
    List<String> expected =
        Arrays.stream(EventCode.values()).map(EventCatalogueTest::rowStart).sorted().toList();
    List<String> rows =
        Files.readAllLines(DOCUMENT).stream()
            .filter(line -> line.startsWith("| WEIR-"))
            .map(line -> line.substring(0, line.lastIndexOf('|', line.length() - 2)).trim())
            .sorted()
            .toList();
    assertEquals(rows, expected);
  }

  @Test
  public void numbersAreUnique() {
    long distinct =
        Arrays.stream(EventCode.values()).mapToInt(EventCode::number).distinct().count();
    assertEquals(distinct, EventCode.values().length);
  }

  private static String rowStart(EventCode code) {
    return "| WEIR-%04d | %s | %s".formatted(code.number(), code.severity(), code.title());
  }
}
