package org.corianderweir.bench.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.corianderweir.bench.soak.SoakEvidence.Ending;
import org.corianderweir.bench.soak.SoakRequest.Kind;

/**
 * A caller that sends what the customers of docs/design/hard-load.md send: single requests,
 * pipelined safe requests, uploads and exports. It keeps its connections until they end, reads some
 * exports slowly, and leaves some requests before their answer.
 */
final class SoakCaller implements Runnable {
  private static final int UNREAD_LIMIT_MILLISECONDS = 1_000;
  private static final int LONGEST_PAUSE_MILLISECONDS = 60;
  private static final double LEAVING_RATIO = 0.15;
  private static final double NON_IDEMPOTENT_RATIO = 0.3;
  private static final double PIPELINED_RATIO = 0.2;
  private static final double UPLOAD_RATIO = 0.1;
  private static final double EXPORT_RATIO = 0.1;
  private static final double SLOW_READER_RATIO = 0.5;
  private static final double LIMITED_RATIO = 0.3;
  private static final int MOST_PIPELINED = 8;
  private static final int LARGEST_UPLOAD_BYTES = 360_000;
  private static final int LARGEST_EXPORT_BYTES = 540_000;
  private static final int STATUS_OK = 200;

  private final String name;
  private final EntryProcesses processes;
  private final int instanceCount;
  private final boolean singleRequests;
  private final SoakEvidence evidence;
  private final UniformRandomProvider random;
  private final Map<Integer, SoakConnection> connections = new HashMap<>();
  private volatile boolean stopped;
  private int requestCount;

  SoakCaller(int number, SoakOptions options, EntryProcesses processes, SoakEvidence evidence) {
    name = "caller-" + number;
    this.processes = processes;
    instanceCount = options.instanceCount();
    singleRequests = options.singleRequests();
    this.evidence = evidence;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed() + 1 + number);
  }

  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    while (!stopped) {
      call(random.nextInt(instanceCount));
      try {
        Thread.sleep(random.nextInt(LONGEST_PAUSE_MILLISECONDS));
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        stopped = true;
      }
    }
    connections.values().forEach(SoakConnection::close);
  }

  /** Sends a request over a new connection; returns whether it was answered with success. */
  boolean isServed(int instance) {
    List<Ending> endings = new ArrayList<>();
    try (SoakConnection connection =
        SoakConnection.open(processes.callerAddress(instance), false)) {
      connection.exchange(
          List.of(SoakRequest.small(name, Kind.READ)),
          UNREAD_LIMIT_MILLISECONDS,
          (request, ending) -> endings.add(ending));
    } catch (IOException refused) {
      return false;
    }
    return endings.equals(List.of(new Ending.Answered(STATUS_OK, true)));
  }

  private void call(int instance) {
    List<SoakRequest> requests = drawRequests();
    int patienceMilliseconds =
        random.nextDouble() < LEAVING_RATIO
            ? 1 + random.nextInt(UNREAD_LIMIT_MILLISECONDS)
            : SoakRequest.DEADLINE_MILLISECONDS + UNREAD_LIMIT_MILLISECONDS;
    boolean slowReader =
        requests.getFirst().kind() == Kind.EXPORT && random.nextDouble() < SLOW_READER_RATIO;
    Optional<SoakConnection> connection =
        slowReader ? open(instance, true) : keptConnection(instance);
    long sentNanoseconds = System.nanoTime();
    if (connection.isEmpty()) {
      requests.forEach(
          request -> record(request, instance, sentNanoseconds, new Ending.Unreachable()));
      return;
    }
    connection
        .get()
        .exchange(
            requests,
            patienceMilliseconds,
            (request, ending) -> record(request, instance, sentNanoseconds, ending));
    if (slowReader) {
      connection.get().close();
    }
  }

  private void record(SoakRequest request, int instance, long sentNanoseconds, Ending ending) {
    evidence.record(
        new SoakEvidence.Call(
            request.identifier(),
            request.idempotent(),
            request.limited(),
            instance,
            sentNanoseconds,
            System.nanoTime(),
            ending));
  }

  /** Draws requests that are sent together on one connection. */
  private List<SoakRequest> drawRequests() {
    double choice = singleRequests ? 1 : random.nextDouble();
    if (choice < PIPELINED_RATIO) {
      int count = random.nextInt(2, MOST_PIPELINED + 1);
      List<SoakRequest> requests = new ArrayList<>();
      for (int number = 0; number < count; number++) {
        requests.add(SoakRequest.small(nextIdentifier(), Kind.READ));
      }
      return requests;
    }
    if (choice < PIPELINED_RATIO + UPLOAD_RATIO) {
      return List.of(drawLarge(Kind.UPLOAD, LARGEST_UPLOAD_BYTES));
    }
    if (choice < PIPELINED_RATIO + UPLOAD_RATIO + EXPORT_RATIO) {
      return List.of(drawLarge(Kind.EXPORT, LARGEST_EXPORT_BYTES));
    }
    boolean idempotent = random.nextDouble() >= NON_IDEMPOTENT_RATIO;
    SoakRequest request = SoakRequest.small(nextIdentifier(), idempotent ? Kind.READ : Kind.BOOK);
    return List.of(random.nextDouble() < LIMITED_RATIO ? request.asLimited() : request);
  }

  private SoakRequest drawLarge(Kind kind, int largestBytes) {
    return new SoakRequest(nextIdentifier(), kind, 1 + random.nextInt(largestBytes), false);
  }

  private String nextIdentifier() {
    requestCount++;
    return name + "-" + requestCount;
  }

  private Optional<SoakConnection> keptConnection(int instance) {
    SoakConnection present = connections.get(instance);
    if (present != null) {
      if (present.isOpen()) {
        return Optional.of(present);
      }
      present.close();
    }
    Optional<SoakConnection> opened = open(instance, false);
    opened.ifPresent(connection -> connections.put(instance, connection));
    return opened;
  }

  private Optional<SoakConnection> open(int instance, boolean slowReader) {
    try {
      return Optional.of(SoakConnection.open(processes.callerAddress(instance), slowReader));
    } catch (IOException refused) {
      return Optional.empty();
    }
  }
}
