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

/** Tests of {@link DeploymentReader}. */
public final class DeploymentReaderTest {
  private record DeploymentSizes(
      int zones, long regions, int instances, List<Integer> servers, int organisations) {}

  @DataProvider
  Object[][] deployments() {
    return new Object[][] {{"adebayo"}, {"huron"}};
  }

  @Test(dataProvider = "deployments")
  public void readsTheSizesOfToday(String name) {
    Deployment deployment = DeploymentFiles.read(name);
    DeploymentSizes sizes =
        new DeploymentSizes(
            deployment.zones().size(),
            deployment.zones().stream().map(Deployment.Zone::region).distinct().count(),
            deployment.zones().stream().mapToInt(Deployment.Zone::entryInstances).sum(),
            deployment.services().stream().map(Deployment.ServiceSpecification::servers).toList(),
            deployment.organisations().size());
    assertEquals(sizes, new DeploymentSizes(6, 3, 18, List.of(20, 12), 8));
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
    String actualMessage = String.valueOf(failure.getMessage());
    int begin = file.toString().length() + 2;
    assertEquals(actualMessage.substring(begin, begin + message.length()), message);
  }
}
