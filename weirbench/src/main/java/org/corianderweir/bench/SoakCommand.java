package org.corianderweir.bench;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import org.corianderweir.bench.soak.SoakOptions;
import org.corianderweir.bench.soak.SoakRun;

/** Runs soaks of consecutive seeds. The exit status is 1 if one of them broke a promise. */
final class SoakCommand implements BenchMain.Command {
  private static final int EXIT_CHECK_FAILED = 1;
  private static final int SERVERS_PER_INSTANCE = 2;
  private static final int CALLERS_PER_INSTANCE = 3;

  @Parameter(names = "--seed", description = "first seed")
  private long seed = 1;

  @Parameter(names = "--runs", description = "number of seeds")
  private int runs = 1;

  @Parameter(names = "--seconds", description = "time in which faults begin, in seconds")
  private int seconds = 15;

  @Parameter(names = "--instances", description = "number of entry instances")
  private int instances = 4;

  @Parameter(names = "--store-link", description = "also cut the links to the store")
  private boolean storeLinkFaults;

  @Parameter(names = "--notices", description = "servers also leave and ask for pauses")
  private boolean serverNotices;

  @Parameter(names = "--single-requests", description = "callers send small requests one by one")
  private boolean singleRequests;

  @Parameter(names = "--first-port", description = "first TCP port that is used")
  private int firstPort = 21_000;

  @Parameter(names = "--logs", description = "directory for settings and logs of the processes")
  private String logs = "reports/soak";

  @Override
  public int run() throws InterruptedException {
    List<Long> broken = new ArrayList<>();
    for (long next = seed; next < seed + runs; next++) {
      SoakOptions options =
          SoakOptions.builder(next)
              .faultDuration(Duration.ofSeconds(seconds))
              .sizes(instances, SERVERS_PER_INSTANCE * instances, CALLERS_PER_INSTANCE * instances)
              .firstPort(firstPort)
              .storeLinkFaults(storeLinkFaults)
              .serverNotices(serverNotices)
              .singleRequests(singleRequests)
              .build();
      if (!keepsPromises(options)) {
        broken.add(next);
      }
    }
    System.out.println(runs + " runs, broken seeds " + broken);
    return broken.isEmpty() ? 0 : EXIT_CHECK_FAILED;
  }

  private boolean keepsPromises(SoakOptions options) throws InterruptedException {
    try {
      Path directory = Files.createDirectories(Path.of(logs, "seed-" + options.seed()));
      try (SoakRun soak = new SoakRun(options, directory, System.out)) {
        SoakRun.Result result = soak.run();
        System.out.println(result);
        return result.violations().isEmpty();
      }
    } catch (IOException | ExecutionException | RuntimeException failure) {
      System.out.println("seed " + options.seed() + " did not finish: " + failure);
      return false;
    }
  }
}
