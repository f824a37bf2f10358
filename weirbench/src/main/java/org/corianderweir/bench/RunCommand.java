package org.corianderweir.bench;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.corianderweir.bench.deployment.DeploymentFiles;
import org.corianderweir.bench.observer.Verdict;
import org.corianderweir.bench.report.ReportWriter;
import org.corianderweir.bench.report.RunReport;
import org.corianderweir.bench.scenario.RunOptions;
import org.corianderweir.bench.scenario.Scenario;
import org.corianderweir.bench.scenario.ScenarioRun;
import org.corianderweir.bench.scenario.Scenarios;

/**
 * Runs a scenario and writes its report. The exit status is 0 if all promises were kept, 1 if not,
 * and 2 for wrong usage.
 */
final class RunCommand implements BenchMain.Command {
  private static final int EXIT_CHECK_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  @Parameter(names = "--deployment", description = "name of a file in deployments/")
  private String deployment = "adebayo";

  @Parameter(
      names = "--scenario",
      description = "name of a scenario; names joined by + run together")
  private String scenario = "steady";

  @Parameter(names = "--seed", description = "seed of the load")
  private long seed = 1;

  @Parameter(names = "--seconds", description = "duration of the load in seconds")
  private int seconds = 20;

  @Parameter(names = "--load", description = "factor by which demand is multiplied")
  private double load = 1;

  @Parameter(names = "--instances-per-zone", description = "maximum entry instances of each zone")
  private int instancesPerZone = 2;

  @Parameter(names = "--servers", description = "maximum backend servers of each service")
  private int servers = 6;

  @Parameter(
      names = "--baseline",
      description = "callers bypass the entry instances and choose random backend servers")
  private boolean baseline;

  @Parameter(names = "--first-port", description = "first TCP port that is used")
  private int firstPort = 20_000;

  @Parameter(names = "--reports", description = "directory to which reports are written")
  private String reports = "reports";

  @Override
  public int run() {
    System.setProperty("java.awt.headless", "true");
    Optional<Scenario> found = Scenarios.find(scenario);
    if (found.isEmpty()) {
      System.err.println("no scenario " + scenario + "; there are " + Scenarios.names());
      return EXIT_USAGE;
    }
    RunOptions options =
        new RunOptions(
            DeploymentFiles.read(deployment).limitedTo(instancesPerZone, servers),
            found.get(),
            seed,
            Duration.ofSeconds(seconds),
            load,
            baseline,
            firstPort,
            createLogDirectory());
    ScenarioRun.Outcome outcome = new ScenarioRun(options).run();
    RunReport report = ReportWriter.report(options, outcome);
    Path directory = Path.of(reports, directoryName());
    ReportWriter.write(directory, report, outcome);
    print(report, directory);
    return report.kept() ? 0 : EXIT_CHECK_FAILED;
  }

  private String directoryName() {
    return deployment + "-" + scenario + (baseline ? "-baseline-" : "-") + seed;
  }

  private static Path createLogDirectory() {
    try {
      return Files.createTempDirectory("corianderweir-bench");
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private static void print(RunReport report, Path directory) {
    for (Verdict verdict : report.verdicts()) {
      String label = verdict.kept() ? "kept    " : "BROKEN  ";
      System.out.println(label + verdict.promise() + " (" + verdict.cases() + " cases)");
      verdict.violations().forEach(violation -> System.out.println("          " + violation));
    }
    report.notes().forEach(note -> System.out.println("NOTE    " + note));
    System.out.printf(
        "requests %d, answered %d, failures %s, wrongfully refused %d, shed %d, repeated %d%n",
        report.requests(),
        report.answered(),
        report.failures(),
        report.wrongfullyRefused(),
        report.shed(),
        report.repeated());
    System.out.printf("latency ms %s%nwait ms %s%n", report.latency(), report.waiting());
    System.out.printf("worst served %s%n", report.worstServed());
    System.out.printf("headroom %s%ndrain ms %s%n", report.headroom(), report.drains());
    System.out.println("report in " + directory);
  }
}
