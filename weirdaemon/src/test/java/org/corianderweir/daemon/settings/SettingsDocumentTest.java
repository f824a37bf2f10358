package org.corianderweir.daemon.settings;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests that docs/SETTINGS.md lists all declared settings. */
public class SettingsDocumentTest {
  private static final Path DOCUMENT = Path.of("..", "docs", "SETTINGS.md");

  @Test
  public void documentListsEverySetting() throws IOException {
    List<String> expected =
        new ArrayList<>(SettingsDescription.rows(DaemonSettingDeclarations.all()));
    expected.addAll(SettingsDescription.rows(EntrySettingDeclarations.all()));
    List<String> rows =
        Files.readAllLines(DOCUMENT).stream().filter(line -> line.startsWith("| `[")).toList();
    assertEquals(rows, expected);
  }
}
