package org.corianderweir.bench.overhead;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.deployment.DeploymentFiles;
import org.corianderweir.bench.deployment.DeploymentLayout;
import org.corianderweir.bench.process.Fleet;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.Json;
import org.testng.annotations.Test;

/**
 * Tests that an entry instance that gets SIGTERM ends without failing a request, also for callers
 * that go on sending to it by a cached look-up answer.
 */
public class PlannedStopTest {
  private static final int FIRST_PORT = 22_400;
  private static final double REQUESTS_PER_SECOND = 100;
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  /** Shorter than the lifetime of a look-up answer, which is 2 s. */
  private static final Duration SEND_DURATION = Duration.ofMillis(1_500);

  @Test
  public void stopCutsNoRequest() throws Exception {
    DeploymentLayout layout =
        new DeploymentLayout(DeploymentFiles.read("adebayo").limitedTo(1, 2), FIRST_PORT);
    Path directory = Files.createTempDirectory("corianderweir-stop");
    HttpClient client = new HttpClient(new HttpClientOptions("stop", TIMEOUT, TIMEOUT, 1 << 20));
    client.start();
    try (Fleet fleet =
        new Fleet(layout, new Fleet.Options(directory, false, false, Duration.ZERO))) {
      fleet.start();
      EntryInstance instance = layout.entryInstances().getFirst();
      String path =
          layout.deployment().routes().stream()
              .filter(Deployment.Route::open)
              .findFirst()
              .orElseThrow()
              .path();
      HttpAddress address = new HttpAddress(instance.host(), instance.callerPort());
      HttpRequest request = HttpRequest.of("GET", path);
      String configuration = Json.write(layout.configuration(fleet.advertisedServers()));
      await(fleet::publishInstances);
      await(
          () ->
              fleet
                  .client()
                  .callOperatorInterface(instance, "PUT", "/configuration", configuration)
                  .isPresent());
      await(
          () ->
              fleet
                  .client()
                  .call(address, request)
                  .filter(response -> response.status() == 200)
                  .isPresent());
      OpenLoopLoadGenerator loadGenerator = new OpenLoopLoadGenerator(client, 1);
      loadGenerator.send(address, request, REQUESTS_PER_SECOND, SEND_DURATION);
      Process process = fleet.processes().get(instance.name());
      process.destroy();
      long failed =
          loadGenerator.send(address, request, REQUESTS_PER_SECOND, SEND_DURATION).failed();
      boolean ended = process.waitFor(30, TimeUnit.SECONDS);
      assertEquals(List.of(failed, ended, ended ? process.exitValue() : -1), List.of(0L, true, 0));
    } finally {
      client.stop();
    }
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long deadlineNanoseconds = System.nanoTime() + Duration.ofSeconds(40).toNanos();
    while (!condition.getAsBoolean() && System.nanoTime() < deadlineNanoseconds) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }
}
