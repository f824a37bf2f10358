package org.corianderweir.bench.clients;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.corianderweir.bench.clients.UncontrolledCrowd.Target;

/**
 * Records the memory and the descriptors of an entry instance over time while a group of clients
 * that nobody controls is directed against it. Each play has an instance of its own.
 */
public final class ClientsExperiment {
  /** A line of the collector's log: the time, and the used heap before and after a collection. */
  private static final Pattern COLLECTION =
      Pattern.compile("\\[(\\d+)ms\\].* \\d+M->(\\d+)M\\(\\d+M\\)");

  private static final double MILLISECONDS_PER_SECOND = 1e3;

  private final Path directory;
  private final Duration restTime;

  /** The interfaces against which a group is directed at the same time. */
  public enum Interfaces {
    REQUESTS(List.of(Target.REQUESTS)),
    OTHERS(Target.OTHERS);

    private final List<Target> targets;

    Interfaces(List<Target> targets) {
      this.targets = targets;
    }
  }

  /**
   * The resources of an instance at one time.
   *
   * @param seconds time since the clients began
   * @param residentMebibytes resident memory of the process
   * @param heapMebibytes used heap after the latest collection; 0 before the first one
   * @param descriptors open descriptors of the process
   */
  public record Row(double seconds, double residentMebibytes, int heapMebibytes, int descriptors) {}

  /**
   * What was seen of one group of clients at some interfaces.
   *
   * @param exitStatus exit status of the instance if its process ended by itself
   * @param problem the interface that did not answer beside the clients, and why
   */
  public record Result(
      UncontrolledCrowd crowd,
      Interfaces interfaces,
      List<Row> rows,
      OptionalInt exitStatus,
      Optional<String> problem) {
    /** Returns whether the process ended by itself. */
    public boolean processEnded() {
      return exitStatus.isPresent();
    }
  }

  private record Collection(long epochMilliseconds, int heapMebibytes) {}

  /**
   * Creates an experiment.
   *
   * @param directory for settings and logs of the processes
   * @param restTime time for which resources are recorded after the clients have left
   */
  public ClientsExperiment(Path directory, Duration restTime) {
    this.directory = directory;
    this.restTime = restTime;
  }

  /** Directs a group of clients against the interfaces of a new instance. */
  public Result play(UncontrolledCrowd crowd, Interfaces interfaces)
      throws IOException, InterruptedException {
    Path logs =
        Files.createDirectories(
            directory.resolve((crowd + "-" + interfaces).toLowerCase(Locale.ROOT)));
    Path collections = logs.resolve("collections.log");
    Files.deleteIfExists(collections);
    String collectorLog = "-Xlog:gc:file=" + collections + ":timemillis";
    try (InstanceProcess instance = new InstanceProcess(logs, List.of(collectorLog))) {
      Optional<String> problem = instance.awaitAnswers();
      long startMilliseconds = System.currentTimeMillis();
      ResourceSampler sampler = new ResourceSampler(instance);
      try (sampler) {
        try (UncontrolledClients clients =
            new UncontrolledClients(crowd, instance.callers(), interfaces.targets)) {
          clients.run();
          if (problem.isEmpty()) {
            problem = instance.awaitAnswers();
          }
        }
        TimeUnit.MILLISECONDS.sleep(restTime.toMillis());
      }
      List<Row> rows = rows(sampler.samples(), collections(collections), startMilliseconds);
      return new Result(crowd, interfaces, rows, instance.exitStatus(), problem);
    }
  }

  /** Joins the samples with the heap after the latest collection before each of them. */
  private static List<Row> rows(
      List<ResourceSampler.Sample> samples, List<Collection> collections, long startMilliseconds) {
    List<Row> rows = new ArrayList<>();
    int next = 0;
    int heapMebibytes = 0;
    for (ResourceSampler.Sample sample : samples) {
      while (next < collections.size()
          && collections.get(next).epochMilliseconds() <= sample.epochMilliseconds()) {
        heapMebibytes = collections.get(next).heapMebibytes();
        next++;
      }
      rows.add(
          new Row(
              (sample.epochMilliseconds() - startMilliseconds) / MILLISECONDS_PER_SECOND,
              sample.residentBytes() / (double) InstanceProcess.MEBIBYTE,
              heapMebibytes,
              sample.descriptors()));
    }
    return rows;
  }

  private static List<Collection> collections(Path log) {
    try (Stream<String> lines = Files.lines(log)) {
      return lines
          .map(COLLECTION::matcher)
          .filter(Matcher::find)
          .map(
              found ->
                  new Collection(Long.parseLong(found.group(1)), Integer.parseInt(found.group(2))))
          .toList();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
