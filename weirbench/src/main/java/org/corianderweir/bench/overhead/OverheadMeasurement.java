package org.corianderweir.bench.overhead;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.Histogram;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.deployment.DeploymentLayout;
import org.corianderweir.bench.process.Fleet;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.Json;

/**
 * Sends the same open-loop load to one backend server directly and through an entry instance, in
 * alternating blocks of one run, and prints the latency that the entry instance adds.
 */
public final class OverheadMeasurement {
  private static final int BLOCK_COUNT = 4;
  private static final Duration WARM_UP_DURATION = Duration.ofSeconds(4);
  private static final Duration BLOCK_DURATION = Duration.ofSeconds(4);
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int RESPONSE_LIMIT_BYTES = 1024 * 1024;

  /**
   * High enough that no request waits for a slot, because this wait is not part of the overhead.
   */
  private static final int SLOTS_PER_SERVER = 200;

  private static final long SERVICE_MILLISECONDS = 5;
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
  private static final double[] PERCENTILES = {50, 99, 99.9};

  private final DeploymentLayout layout;
  private final double requestsPerSecond;
  private final Deployment.Route route;
  private final PrintStream output;
  private final HttpClient client =
      new HttpClient(new HttpClientOptions("overhead", TIMEOUT, TIMEOUT, RESPONSE_LIMIT_BYTES));

  /** Prepares a measurement with one backend server for each service. */
  public OverheadMeasurement(
      Deployment deployment, double requestsPerSecond, int firstPort, PrintStream output) {
    this.layout =
        new DeploymentLayout(
            deployment.limitedTo(1, 1).withServers(SLOTS_PER_SERVER, SERVICE_MILLISECONDS),
            firstPort);
    this.route =
        deployment.routes().stream().filter(Deployment.Route::open).findFirst().orElseThrow();
    this.requestsPerSecond = requestsPerSecond;
    this.output = output;
  }

  /**
   * Runs the measurement and prints its results.
   *
   * @return zero, or one if the fleet did not start
   */
  public int run(long seed) {
    Fleet.Options options = new Fleet.Options(directory(), false, true, Duration.ZERO);
    try (Fleet fleet = new Fleet(layout, options)) {
      fleet.start();
      client.start();
      EntryInstance instance = layout.entryInstances().getFirst();
      if (!awaitReady(fleet, instance)) {
        output.println("the fleet did not start");
        return 1;
      }
      measure(instance, seed);
      return 0;
    } finally {
      client.stop();
    }
  }

  private boolean awaitReady(Fleet fleet, EntryInstance instance) {
    String configuration = Json.write(layout.configuration(fleet.advertisedServers()));
    return await(fleet::publishInstances)
        && await(
            () ->
                fleet
                    .client()
                    .callOperatorInterface(instance, "PUT", "/configuration", configuration)
                    .isPresent())
        && await(
            () ->
                fleet
                    .client()
                    .call(callerAddress(instance), HttpRequest.of("GET", route.path()))
                    .filter(response -> response.status() == 200)
                    .isPresent());
  }

  private void measure(EntryInstance instance, long seed) {
    BackendServer server =
        layout.backendServers().stream()
            .filter(candidate -> candidate.service().equals(route.service()))
            .findFirst()
            .orElseThrow();
    HttpAddress direct = new HttpAddress(server.host(), server.port());
    HttpRequest request = HttpRequest.of(route.method(), route.path());
    OpenLoopLoadGenerator loadGenerator = new OpenLoopLoadGenerator(client, seed);
    loadGenerator.send(callerAddress(instance), request, requestsPerSecond, WARM_UP_DURATION);
    loadGenerator.send(direct, request, requestsPerSecond, WARM_UP_DURATION);
    Histogram directLatency = new Histogram(3);
    Histogram steeredLatency = new Histogram(3);
    long failed = 0;
    for (int block = 0; block < BLOCK_COUNT; block++) {
      OpenLoopLoadGenerator.Outcome directResult =
          loadGenerator.send(direct, request, requestsPerSecond, BLOCK_DURATION);
      OpenLoopLoadGenerator.Outcome steeredResult =
          loadGenerator.send(callerAddress(instance), request, requestsPerSecond, BLOCK_DURATION);
      directLatency.add(directResult.latency());
      steeredLatency.add(steeredResult.latency());
      failed += directResult.failed() + steeredResult.failed();
    }
    output.printf(
        "seed %d, %s, %.0f requests/s, %d + %d requests, %d without answer%n",
        seed,
        server.name(),
        requestsPerSecond,
        directLatency.getTotalCount(),
        steeredLatency.getTotalCount(),
        failed);
    for (double percentile : PERCENTILES) {
      double directMilliseconds = milliseconds(directLatency, percentile);
      double steeredMilliseconds = milliseconds(steeredLatency, percentile);
      output.printf(
          "p%-5s direct %7.3f ms, through an entry instance %7.3f ms, added %6.3f ms, ratio %.3f%n",
          percentile,
          directMilliseconds,
          steeredMilliseconds,
          steeredMilliseconds - directMilliseconds,
          steeredMilliseconds / directMilliseconds);
    }
  }

  private static double milliseconds(Histogram latency, double percentile) {
    return latency.getValueAtPercentile(percentile) / NANOSECONDS_PER_MILLISECOND;
  }

  private static HttpAddress callerAddress(EntryInstance instance) {
    return new HttpAddress(instance.host(), instance.callerPort());
  }

  private static boolean await(BooleanSupplier condition) {
    long deadlineNanoseconds = System.nanoTime() + START_TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanoseconds) {
        return false;
      }
      java.util.concurrent.locks.LockSupport.parkNanos(Duration.ofMillis(100).toNanos());
    }
    return true;
  }

  private static Path directory() {
    try {
      return Files.createTempDirectory("corianderweir-overhead");
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
