package org.corianderweir.daemon.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.List;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.topology.EntryInstance;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the values and the reported mistakes of {@link SettingsReader}. */
public class SettingsReaderTest {
  private static final String VALID =
      """
      [instance]
      name = entry-1
      region = lagos
      availability-zone = lagos-1
      host = 127.1.1.1
      [callers]
      port = 8000
      [operators]
      port = 8001
      credential = operators-secret
      [peers]
      port = 8002
      secret = peers-secret
      [platform]
      host = 127.1.0.1
      port = 8003
      """;

  @Test
  public void readsValidSettings() throws IOException {
    DaemonSettings expected =
        new DaemonSettings(
            new EntryInstance("entry-1", "lagos", "lagos-1", "127.1.1.1", 8000, 8001, 8002),
            new DaemonSettings.ListenPorts(8000, 8002),
            new HttpAddress("127.1.0.1", 8003),
            "operators-secret",
            "peers-secret",
            Duration.ofSeconds(2),
            1_048_576);
    assertEquals(SettingsReader.read(fileWith(VALID)), expected);
  }

  @DataProvider
  public Object[][] mistakes() {
    return new Object[][] {
      {"[callers]\nport = 8000", "[callers]", "[callers] port: missing"},
      {"port = 8000", "port = many", "[callers] port: read 'many'"},
      {"port = 8000", "port = 0", "[callers] port: read '0'"},
      {"port = 8000", "port = 8000\nlisten-port = -1", "[callers] listen-port: read '-1'"},
      {"port = 8000", "port = 65536", "[callers] port: read '65536'"},
      {"port = 8000", "port = 8000\nport = 8005", "[callers] port: given 2 times"},
      {"host = 127.1.1.1", "host = localhost", "[instance] host: read 'localhost'"},
      {"name = entry-1", "name = entry 1", "[instance] name: read 'entry 1'"},
      {"peers-secret", "short", "[peers] secret: read a text that is too short"},
      {"[peers]", "[peer]", "[peer]: unknown section"},
      {"[platform]", "[platform]\nretries = 3", "[platform] retries: unknown name"},
    };
  }

  @Test(dataProvider = "mistakes")
  public void reportsMistakes(String valid, String mistaken, String expected) throws IOException {
    File file = fileWith(VALID.replace(valid, mistaken));
    WeirException failure = expectThrows(WeirException.class, () -> SettingsReader.read(file));
    List<String> lines =
        String.valueOf(failure.getMessage())
            .lines()
            .filter(line -> line.startsWith(file + ": " + expected))
            .toList();
    assertEquals(lines.size(), 1, failure.getMessage());
  }

  private static File fileWith(String text) throws IOException {
    File file = File.createTempFile("settings", ".ini");
    file.deleteOnExit();
    Files.writeString(file.toPath(), text);
    return file;
  }
}
