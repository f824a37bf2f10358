package org.corianderweir.bench.start;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.corianderweir.bench.process.ChildProcesses;
import org.corianderweir.bench.process.EntrySettingsText;
import org.corianderweir.bench.process.ResourceUsage;
import org.corianderweir.bench.training.TrainingPlatform;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;

/**
 * Starts an entry instance beside peers, a store and backend servers, sends requests to it at a
 * constant rate, and reads the processor time that its process has used after each phase.
 */
public final class StartExperiment {
  private static final String HOST = "127.0.0.1";
  private static final String READINESS_PATH = "/api/readiness";
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final Duration READINESS_INTERVAL = Duration.ofMillis(50);
  private static final Duration IDLE_LIFETIME = Duration.ofSeconds(10);

  /** Connections wait for a process that compiles; a smaller limit lets requests fail. */
  private static final int CONNECTION_LIMIT = 500;

  private static final int RESPONSE_LIMIT_BYTES = 64 * 1024;
  private static final int STATUS_OK = 200;

  /** Of so many requests, one opens a new connection and one may run only once. */
  private static final int MIX_SIZE = 4;

  /** Compilations that requests have caused may end after the last response. */
  private static final Duration SETTLE_TIME = Duration.ofMillis(300);

  private final Options options;
  private final Path directory;

  /**
   * The sizes of an experiment.
   *
   * @param peerCount number of other entry instances
   * @param serverCount number of backend servers
   * @param firstRequests number of requests of the first group
   * @param nextRequests number of requests of the second group
   * @param requestsPerSecond rate of both groups
   * @param idleTime time without requests that is measured
   * @param firstPort first TCP port of the instances
   * @param virtualMachineOptions further options of the measured process, for trials
   */
  public record Options(
      int peerCount,
      int serverCount,
      int firstRequests,
      int nextRequests,
      int requestsPerSecond,
      Duration idleTime,
      int firstPort,
      List<String> virtualMachineOptions) {}

  /**
   * Creates an experiment.
   *
   * @param directory for settings and the output of the processes
   */
  public StartExperiment(Options options, Path directory) {
    this.options = options;
    this.directory = directory;
  }

  /**
   * Measures one start of the build in a repository.
   *
   * @param repository directory in which {@code deploy/build.sh} ran
   * @throws IllegalStateException if the instance does not become ready
   */
  public StartCost measure(Path repository)
      throws IOException, InterruptedException, ExecutionException {
    Files.createDirectories(directory);
    RunCommand command = RunCommand.read(repository);
    HttpClient client =
        new HttpClient(
            new HttpClientOptions("start", TIMEOUT, IDLE_LIFETIME, RESPONSE_LIMIT_BYTES)
                .withConnectionsPerAddress(CONNECTION_LIMIT));
    try (TrainingPlatform platform = new TrainingPlatform(0, options.serverCount());
        ChildProcesses processes = new ChildProcesses(directory.toFile())) {
      platform.start();
      client.start();
      for (int number = 1; number <= options.peerCount(); number++) {
        start(processes, command, number, platform.storePort(), List.of());
        awaitReady(client, number);
      }
      Process process =
          start(processes, command, 0, platform.storePort(), options.virtualMachineOptions());
      awaitReady(client, 0);
      Duration ready = processorTime(process);
      int failed = send(client, options.firstRequests());
      Duration first = processorTime(process);
      failed += send(client, options.nextRequests());
      Duration next = processorTime(process);
      Duration compilation = ResourceUsage.processorTimeOfThreads(process, "C1 CompilerThre");
      Thread.sleep(options.idleTime());
      Duration idle = processorTime(process).minus(next);
      return new StartCost(
          ready,
          first.minus(ready),
          next.minus(first),
          idle.multipliedBy(Duration.ofSeconds(1).toNanos())
              .dividedBy(options.idleTime().toNanos()),
          compilation,
          failed);
    } finally {
      client.stop();
    }
  }

  private Process start(
      ChildProcesses processes,
      RunCommand command,
      int number,
      int storePort,
      List<String> virtualMachineOptions)
      throws IOException {
    String name = "entry-" + number;
    Path settings = directory.resolve(name + ".ini");
    Files.writeString(
        settings, EntrySettingsText.of(name, address(number, 0), new HttpAddress(HOST, storePort)));
    RunCommand complete = command.with(settings, virtualMachineOptions);
    return processes.start(name, complete.arguments(), complete.directory());
  }

  private HttpAddress address(int number, int offset) {
    return new HttpAddress(
        HOST, options.firstPort() + EntrySettingsText.PORT_COUNT * number + offset);
  }

  private void awaitReady(HttpClient client, int number)
      throws InterruptedException, ExecutionException {
    HttpRequest request = HttpRequest.of("GET", READINESS_PATH);
    long deadlineNanoseconds = System.nanoTime() + START_TIMEOUT.toNanos();
    while (true) {
      Thread.sleep(READINESS_INTERVAL);
      int status =
          client
              .exchange(address(number, 1), request, TIMEOUT)
              .handle((response, failure) -> failure == null ? response.status() : 0)
              .get();
      if (status == STATUS_OK) {
        return;
      }
      if (System.nanoTime() - deadlineNanoseconds > 0) {
        throw new IllegalStateException("entry instance " + number + " is not ready");
      }
    }
  }

  /** Sends requests at the rate, waits for all, and returns the number of those that failed. */
  private int send(HttpClient client, int count) throws InterruptedException {
    long startNanoseconds = System.nanoTime();
    long intervalNanoseconds = Duration.ofSeconds(1).toNanos() / options.requestsPerSecond();
    List<CompletableFuture<Boolean>> answers = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      long dueNanoseconds = startNanoseconds + number * intervalNanoseconds;
      Thread.sleep(Duration.ofNanos(Math.max(0, dueNanoseconds - System.nanoTime())));
      Duration idleLimit = number % MIX_SIZE == 1 ? Duration.ZERO : TIMEOUT;
      answers.add(
          client
              .exchange(address(0, 0), request(number), TIMEOUT, idleLimit)
              .handle((response, failure) -> failure == null && response.status() == STATUS_OK));
    }
    int failed = 0;
    for (CompletableFuture<Boolean> answer : answers) {
      failed += answer.join() ? 0 : 1;
    }
    Thread.sleep(SETTLE_TIME);
    return failed;
  }

  private static HttpRequest request(int number) {
    boolean booking = number % MIX_SIZE == 2;
    HttpHeaders headers =
        HttpHeaders.NONE
            .with("Host", "rota.example")
            .with("Request-Id", "request-" + number)
            .with("X-Api-Key", "key-1")
            .with("Affinity-Key", Integer.toString(number % 50))
            .with("Deadline-Ms", "2000");
    byte[] body = booking ? "body".getBytes(StandardCharsets.UTF_8) : new byte[0];
    return new HttpRequest(
        booking ? "POST" : "GET", booking ? "/book/x" : "/read/x", headers, body);
  }

  private static Duration processorTime(Process process) {
    return ResourceUsage.of(List.of(process)).processorTime();
  }
}
