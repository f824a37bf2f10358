package org.corianderweir.daemon.settings;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Holds docs/SETTINGS.md to the declarations. */
public class SettingsDocumentTest {
  private static final Path DOCUMENT = Path.of("..", "docs", "SETTINGS.md");

  @Test
  public void documentListsEverySetting() throws IOException {
    List<String> expected = SettingsDescription.rows();
    List<String> rows =
        Files.readAllLines(DOCUMENT).stream().filter(line -> line.startsWith("| `[")).toList();
    assertEquals(rows, expected);
  }
}
