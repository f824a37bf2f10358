package org.corianderweir.bench.configuration;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.corianderweir.bench.platform.PlatformCalls;
import org.corianderweir.bench.platform.PlatformRates;
import org.corianderweir.bench.platform.PlatformStandIn;
import org.corianderweir.bench.process.ChildProcesses;
import org.corianderweir.bench.process.FleetClient;
import org.corianderweir.bench.process.ResourceUsage;
import org.corianderweir.bench.process.SettingsFile;
import org.corianderweir.daemon.DaemonMain;
import org.corianderweir.daemon.SystemTimeSource;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.Json;

/**
 * Starts daemons in six availability zones and changes the configuration several times, each time
 * through a random daemon. Measures the time from sending a change until every daemon reports that
 * it is in force.
 */
public final class InForceExperiment {
  private static final int ZONE_COUNT = 6;
  private static final int SETTLE_SECONDS = 15;
  private static final int IDLE_SECONDS = 10;
  private static final Duration START_TIMEOUT = Duration.ofSeconds(40);
  private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(20);
  private static final long POLL_INTERVAL_MILLISECONDS = 5;
  private static final String PLATFORM_HOST = "127.21.0.1";

  private static final double MILLISECONDS_PER_PERCENT = 10;
  private static final double BYTES_PER_MEGABYTE = 1e6;

  private final int changeCount;
  private final Random random;
  private final PrintStream output;
  private final HttpAddress platformAddress;
  private final List<EntryInstance> instances = new ArrayList<>();
  private final FleetClient client = new FleetClient();

  /** Prepares a run whose daemons are distributed evenly over the zones. */
  public InForceExperiment(
      int daemonCount, int changeCount, int firstPort, long seed, PrintStream output) {
    this.changeCount = changeCount;
    this.output = output;
    random = new Random(seed);
    platformAddress = new HttpAddress(PLATFORM_HOST, firstPort);
    for (int number = 0; number < daemonCount; number++) {
      int zone = number % ZONE_COUNT + 1;
      instances.add(
          new EntryInstance(
              "entry-" + zone + '-' + number / ZONE_COUNT,
              "region-" + (zone + 1) / 2,
              "zone-" + zone,
              "127.21." + zone + '.' + (number / ZONE_COUNT + 1),
              firstPort + 1,
              firstPort + 2,
              firstPort + 3));
    }
  }

  /**
   * Runs the experiment and prints its measurements.
   *
   * @return zero if the fleet started and every change came into force everywhere in time,
   *     otherwise one
   */
  public int run() throws InterruptedException {
    PlatformStandIn platform =
        new PlatformStandIn(
            PLATFORM_HOST, platformAddress.port(), PlatformRates.DEFAULT, new SystemTimeSource());
    platform.start();
    client.start();
    try (client;
        ChildProcesses processes = new ChildProcesses(directory().toFile())) {
      client.publishInstances(
          platformAddress,
          instances.stream().map(instance -> new ListedInstance(instance, false)).toList());
      for (EntryInstance instance : instances) {
        Path settings =
            SettingsFile.write(
                directory(), instance, instance, platformAddress, FleetClient.OPERATOR_CREDENTIAL);
        processes.start(
            instance.name(), DaemonMain.class, List.of("--settings", settings.toString()));
      }
      return measure(platform, processes);
    } finally {
      platform.stop();
    }
  }

  private int measure(PlatformStandIn platform, ChildProcesses processes)
      throws InterruptedException {
    if (measureChange(0, START_TIMEOUT) < 0) {
      output.println("the fleet did not start");
      return 1;
    }
    Thread.sleep(Duration.ofSeconds(SETTLE_SECONDS));
    PlatformCalls callsBefore = platform.platform().calls();
    ResourceUsage usageBefore = resourceUsage(processes);
    Thread.sleep(Duration.ofSeconds(IDLE_SECONDS));
    ResourceUsage usageAfter = resourceUsage(processes);
    PlatformCalls callsAfter = platform.platform().calls();
    Histogram milliseconds = new Histogram(3);
    int failed = 0;
    for (int number = 1; number <= changeCount; number++) {
      Thread.sleep(random.nextInt(400));
      long elapsedNanoseconds = measureChange(number, CHANGE_TIMEOUT);
      if (elapsedNanoseconds < 0) {
        failed++;
      } else {
        milliseconds.recordValue(Duration.ofNanos(elapsedNanoseconds).toMillis());
      }
    }
    output.printf(
        "daemons %d: store calls %.1f/s; %d changes in force everywhere after"
            + " p50 %d ms, p99 %d ms, at most %d ms; not in force in time: %d%n",
        instances.size(),
        (double)
                (callsAfter.reads()
                    + callsAfter.writes()
                    - callsBefore.reads()
                    - callsBefore.writes())
            / IDLE_SECONDS,
        milliseconds.getTotalCount(),
        milliseconds.getValueAtPercentile(50),
        milliseconds.getValueAtPercentile(99),
        milliseconds.getMaxValue(),
        failed);
    printResourceUsage(usageBefore, usageAfter);
    return failed == 0 ? 0 : 1;
  }

  private ResourceUsage resourceUsage(ChildProcesses processes) {
    return ResourceUsage.of(
        instances.stream().map(instance -> processes.get(instance.name())).toList());
  }

  private void printResourceUsage(ResourceUsage before, ResourceUsage after) {
    Duration used = after.processorTime().minus(before.processorTime());
    output.printf(
        "each daemon without traffic: %.2f%% of a core, %.1f MB resident%n",
        (double) used.toMillis() / IDLE_SECONDS / MILLISECONDS_PER_PERCENT / instances.size(),
        after.residentBytes() / BYTES_PER_MEGABYTE / instances.size());
  }

  /**
   * Changes the configuration and returns the nanoseconds until the change is in force on all
   * instances, or -1 if it is not before the timeout.
   */
  private long measureChange(int number, Duration timeout) throws InterruptedException {
    EntryInstance instance = instances.get(random.nextInt(instances.size()));
    long beginNanoseconds = System.nanoTime();
    String body = Json.write(configuration(number));
    String target = "/configuration?expected-revision=" + number;
    boolean accepted = false;
    while (System.nanoTime() - beginNanoseconds < timeout.toNanos()) {
      if (!accepted) {
        accepted = client.callOperatorInterface(instance, "PUT", target, body).isPresent();
      }
      if (accepted && inForceEverywhere(number + 1L)) {
        return System.nanoTime() - beginNanoseconds;
      }
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    return -1;
  }

  private boolean inForceEverywhere(long revision) {
    return instances.parallelStream()
        .allMatch(instance -> client.revisionInForce(instance) >= revision);
  }

  private static Configuration configuration(int number) {
    List<AvailabilityZone> zones = new ArrayList<>();
    for (int zone = 1; zone <= ZONE_COUNT; zone++) {
      zones.add(new AvailabilityZone("zone-" + zone, "region-" + (zone + 1) / 2, List.of()));
    }
    return Configuration.builder()
        .zones(zones)
        .organisations(List.of(new Organisation("adebayo", 10.0 + number, 5, 0)))
        .build();
  }

  private static Path directory() {
    try {
      Path directory = Path.of(System.getProperty("java.io.tmpdir", "."), "corianderweir-in-force");
      return Files.createDirectories(directory);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
