package org.corianderweir.bench.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.corianderweir.model.WeirException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link DeploymentReader}. */
public final class DeploymentReaderTest {
  private record Shape(
      int zones, long regions, int instances, List<Integer> servers, int organisations) {}

  @DataProvider
  Object[][] deployments() {
    return new Object[][] {{"adebayo"}, {"huron"}};
  }

  @Test(dataProvider = "deployments")
  public void readsTheSizesOfToday(String name) {
    Deployment read = DeploymentFiles.read(name);
    Shape shape =
        new Shape(
            read.zones().size(),
            read.zones().stream().map(Deployment.Zone::region).distinct().count(),
            read.zones().stream().mapToInt(Deployment.Zone::entryInstances).sum(),
            read.services().stream().map(Deployment.ServiceSpecification::servers).toList(),
            read.organisations().size());
    assertEquals(shape, new Shape(6, 3, 18, List.of(20, 12), 8));
  }

  @DataProvider
  Object[][] mistakes() {
    return new Object[][] {
      {"[deployment]\nname = x\n", "[deployment] zone-latency-milliseconds: missing"},
      {"[lawn green]\nname = x\n", "[lawn green] : unknown section"},
      {"", "[deployment] : missing section"},
    };
  }

  @Test(dataProvider = "mistakes")
  public void namesTheMistake(String text, String message) throws IOException {
    Path file = Files.createTempFile("deployment", ".ini");
    Files.writeString(file, text);
    WeirException failure =
        expectThrows(WeirException.class, () -> DeploymentReader.read(file.toFile()));
    String shown = String.valueOf(failure.getMessage());
    int begin = file.toString().length() + 2;
    assertEquals(shown.substring(begin, begin + message.length()), message);
  }
}
