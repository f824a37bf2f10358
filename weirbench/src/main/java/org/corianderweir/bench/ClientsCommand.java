package org.corianderweir.bench;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.corianderweir.bench.clients.ClientsExperiment;
import org.corianderweir.bench.clients.ClientsReport;
import org.corianderweir.bench.clients.UncontrolledCrowd;

/**
 * Directs groups of clients that nobody controls against an entry instance, and records its memory
 * and descriptors. The exit status is 1 if a process ended by itself or did not answer.
 */
final class ClientsCommand implements BenchMain.Command {
  private static final int EXIT_CHECK_FAILED = 1;

  @Parameter(names = "--group", description = "group of clients, may be repeated; otherwise all")
  private List<UncontrolledCrowd> groups = new ArrayList<>();

  @Parameter(
      names = "--rest-seconds",
      description = "time that is recorded after the clients have left, in seconds")
  private int restSeconds = 4;

  @Parameter(names = "--output", description = "directory for CSV files, plots and logs")
  private String output = "reports/clients";

  @Override
  public int run() throws InterruptedException {
    Path directory = Path.of(output);
    ClientsExperiment experiment =
        new ClientsExperiment(directory.resolve("logs"), Duration.ofSeconds(restSeconds));
    List<UncontrolledCrowd> chosen =
        groups.isEmpty() ? List.of(UncontrolledCrowd.values()) : groups;
    List<String> summary = new ArrayList<>();
    summary.add(ClientsReport.SUMMARY_HEADER);
    System.out.println(ClientsReport.SUMMARY_HEADER);
    boolean failed = false;
    try {
      for (UncontrolledCrowd crowd : chosen) {
        List<ClientsExperiment.Result> results = new ArrayList<>();
        for (var interfaces : ClientsExperiment.Interfaces.values()) {
          ClientsExperiment.Result result = experiment.play(crowd, interfaces);
          results.add(result);
          summary.add(ClientsReport.summary(result));
          System.out.println(summary.getLast());
          failed |= result.processEnded() || result.problem().isPresent();
        }
        ClientsReport.write(directory, crowd, results);
        Files.write(directory.resolve("summary.csv"), summary);
      }
    } catch (IOException failure) {
      System.err.println(failure.getMessage());
      failed = true;
    }
    return failed ? EXIT_CHECK_FAILED : 0;
  }
}
