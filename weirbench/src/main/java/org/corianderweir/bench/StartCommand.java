package org.corianderweir.bench;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.converters.IParameterSplitter;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.function.Function;
import org.corianderweir.bench.start.StartCost;
import org.corianderweir.bench.start.StartExperiment;

/**
 * Measures the processor time of starts and of the first requests. With several builds, their runs
 * alternate, so that other load on the machine affects all in the same way.
 */
final class StartCommand implements BenchMain.Command {
  private static final int EXIT_CHECK_FAILED = 1;
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  /** Options of the virtual machine may contain commas. */
  private static final class WholeText implements IParameterSplitter {
    @Override
    public List<String> split(String value) {
      return List.of(value);
    }
  }

  @Parameter(
      names = "--build",
      description = "root of a repository in which deploy/build.sh ran; may be repeated")
  private List<String> builds = new ArrayList<>(List.of("."));

  @Parameter(names = "--runs", description = "number of starts of each build")
  private int runs = 7;

  @Parameter(names = "--peers", description = "number of other entry instances")
  private int peers = 2;

  @Parameter(names = "--servers", description = "number of backend servers")
  private int servers = 2;

  @Parameter(names = "--first-requests", description = "size of the first group of requests")
  private int firstRequests = 200;

  @Parameter(names = "--next-requests", description = "size of the second group of requests")
  private int nextRequests = 1_000;

  @Parameter(names = "--rate", description = "requests per second")
  private int requestsPerSecond = 100;

  @Parameter(names = "--idle-seconds", description = "time without requests that is measured")
  private int idleSeconds = 4;

  @Parameter(names = "--first-port", description = "first TCP port of the instances")
  private int firstPort = 21_600;

  @Parameter(
      names = "--option",
      splitter = WholeText.class,
      description = "option of the virtual machine of the measured process; may be repeated")
  private List<String> virtualMachineOptions = new ArrayList<>();

  @Parameter(names = "--logs", description = "directory for settings and logs of the processes")
  private String logs = "reports/start";

  @Override
  public int run() throws InterruptedException {
    StartExperiment experiment =
        new StartExperiment(
            new StartExperiment.Options(
                peers,
                servers,
                firstRequests,
                nextRequests,
                requestsPerSecond,
                Duration.ofSeconds(idleSeconds),
                firstPort,
                virtualMachineOptions),
            Path.of(logs));
    Map<String, List<StartCost>> costs = new LinkedHashMap<>();
    for (int number = 0; number < runs; number++) {
      for (String build : builds) {
        try {
          StartCost cost = experiment.measure(Path.of(build));
          costs.computeIfAbsent(build, unused -> new ArrayList<>()).add(cost);
          print(build, List.of(cost));
        } catch (IOException | ExecutionException | RuntimeException failure) {
          System.out.println(build + " was not measured: " + failure);
          return EXIT_CHECK_FAILED;
        }
      }
    }
    System.out.println("medians of " + runs);
    costs.forEach(StartCommand::print);
    return 0;
  }

  private static void print(String build, List<StartCost> costs) {
    System.out.printf(
        "%s: start %.0f ms, first %.0f ms, next %.0f ms, sum %.0f ms, of it compilers %.0f ms;"
            + " idle second %.1f ms; failed %d%n",
        build,
        median(costs, StartCost::start),
        median(costs, StartCost::firstRequests),
        median(costs, StartCost::nextRequests),
        median(costs, StartCost::sum),
        median(costs, StartCost::compilation),
        median(costs, StartCost::idleSecond),
        costs.stream().mapToInt(StartCost::failedRequests).sum());
  }

  private static double median(List<StartCost> costs, Function<StartCost, Duration> figure) {
    double[] sorted = costs.stream().map(figure).mapToDouble(Duration::toNanos).sorted().toArray();
    double middle = sorted[sorted.length / 2] + sorted[(sorted.length - 1) / 2];
    return middle / 2 / NANOSECONDS_PER_MILLISECOND;
  }
}
