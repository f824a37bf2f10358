package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.RequestKind;
import org.corianderweir.model.traffic.ServerRegistration;
import org.corianderweir.model.traffic.TrafficRoute;

/**
 * One region of a customer in simulated time: 36 instances in two zones and 55 servers with 3 slots
 * and a queue of 9 each. A seventh of the servers works 2.5 times slower, and which ones changes
 * twice a second. The instances decide with {@link TrafficDirector}.
 */
final class SharedReportsSimulation {
  private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
  private static final long NETWORK_DELAY = MILLISECOND;
  private static final long EXCHANGE_INTERVAL = 250 * MILLISECOND;
  private static final long SPEED_PERIOD = 500 * MILLISECOND;
  private static final long SAMPLE_INTERVAL = 50 * MILLISECOND;
  private static final long DURATION = Duration.ofSeconds(10).toNanos();
  private static final int INSTANCES_PER_ZONE = 18;
  private static final int SERVER_COUNT = 55;
  private static final int SLOT_COUNT = 3;
  private static final int QUEUE_LIMIT = 9;
  private static final int MEMORY_OBJECTS = 30;
  private static final double WORK_MILLISECONDS = 480;
  private static final double WARM_RATIO = 0.3;
  private static final double SLOW_RATIO = 2.5;
  private static final long TARGET = 433 * MILLISECOND;

  private final Sharing sharing;
  private final double requestsPerSecond;
  private final int objectCount;
  private final Random arrivals;
  private final Random speeds;
  private final Random random;
  private final TrafficRoute route;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<Server> servers = new ArrayList<>();
  private final Map<String, Server> serversByIdentifier = new HashMap<>();
  private final List<Instance> instances = new ArrayList<>();
  private final Result result = new Result();
  private long now = TrafficFixture.NOW;
  private long sequence;

  /** What the instances know. */
  enum Sharing {
    /** Own reports with a speed. */
    OWN,
    /** Own reports with a speed, and those of the zone. */
    ZONE
  }

  /** Counts over a run. */
  static final class Result {
    int answered;
    int late;
    int rejected;
    double latencySum;
    double loadVarianceSum;
    double longestQueueSum;
    int samples;
    long messages;
    long reports;

    void add(Result other) {
      answered += other.answered;
      late += other.late;
      rejected += other.rejected;
      latencySum += other.latencySum;
      loadVarianceSum += other.loadVarianceSum;
      longestQueueSum += other.longestQueueSum;
      samples += other.samples;
      messages += other.messages;
      reports += other.reports;
    }

    double meanLatencyMilliseconds() {
      return latencySum / answered / MILLISECOND;
    }

    double lateRatio() {
      return (double) late / answered;
    }

    /** Returns the value of the responses; a late one is worth a fifth of one in time. */
    double credit() {
      return answered - late + 0.2 * late;
    }

    double loadVariance() {
      return loadVarianceSum / samples;
    }

    double longestQueue() {
      return longestQueueSum / samples;
    }

    @Override
    public String toString() {
      return ("in-time=%d answered=%d late=%.4f rejected=%d latency=%.0fms variance=%.2f"
              + " longest=%.2f messages=%d reports=%d")
          .formatted(
              answered - late,
              answered,
              lateRatio(),
              rejected,
              meanLatencyMilliseconds(),
              loadVariance(),
              longestQueue(),
              messages,
              reports);
    }
  }

  private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int order = Long.compare(time, other.time);
      return order != 0 ? order : Long.compare(sequence, other.sequence);
    }
  }

  SharedReportsSimulation(
      Sharing sharing, double requestsPerSecond, int objectCount, boolean sticky, long seed) {
    this.sharing = sharing;
    this.requestsPerSecond = requestsPerSecond;
    this.objectCount = objectCount;
    arrivals = new Random(seed);
    speeds = new Random(seed);
    random = new Random(seed);
    TrafficRoute fixture = TrafficFixture.route("read", RequestKind.SAFE, Set.of());
    route =
        new TrafficRoute(
            fixture.name(),
            fixture.host(),
            fixture.pathPrefix(),
            fixture.kind(),
            Duration.ofMillis(2_707),
            Duration.ofNanos(TARGET),
            0,
            fixture.weightedServices(),
            2,
            false,
            sticky,
            Set.of());
    List<ServerRegistration> registrations = TrafficFixture.servers("north-a", SERVER_COUNT);
    for (ServerRegistration registration : registrations) {
      Server server = new Server();
      servers.add(server);
      serversByIdentifier.put(registration.identifier(), server);
    }
    List<FleetMember> members = new ArrayList<>();
    for (int number = 0; number < 2 * INSTANCES_PER_ZONE; number++) {
      String zone = number < INSTANCES_PER_ZONE ? "north-a" : "north-b";
      members.add(TrafficFixture.member("entry-" + number, zone, "north"));
    }
    FleetView view = TrafficFixture.view(List.of(route), registrations, Set.of(), members);
    Map<String, ReportCollector> collectors =
        Map.of("north-a", new ReportCollector(), "north-b", new ReportCollector());
    for (FleetMember member : members) {
      instances.add(new Instance(member, collectors.get(member.zone()), view));
    }
  }

  Result run() {
    long end = now + DURATION;
    changeSpeeds();
    sample();
    scheduleArrival();
    if (sharing == Sharing.ZONE) {
      instances.forEach(
          instance ->
              schedule((long) (random.nextDouble() * EXCHANGE_INTERVAL), instance::exchange));
    }
    while (!events.isEmpty() && events.peek().time() < end) {
      Event event = events.remove();
      now = event.time();
      event.action().run();
    }
    return result;
  }

  private void schedule(long delay, Runnable action) {
    sequence++;
    events.add(new Event(now + delay, sequence, action));
  }

  private void scheduleArrival() {
    double seconds = -Math.log(1 - arrivals.nextDouble()) / requestsPerSecond;
    schedule(
        (long) (seconds * Duration.ofSeconds(1).toNanos()),
        () -> {
          instances.get(arrivals.nextInt(instances.size())).receive();
          scheduleArrival();
        });
  }

  private void changeSpeeds() {
    servers.forEach(server -> server.slow = speeds.nextInt(7) == 0);
    schedule(SPEED_PERIOD, this::changeSpeeds);
  }

  private void sample() {
    double mean = servers.stream().mapToInt(Server::load).average().orElse(0);
    double squares =
        servers.stream().mapToDouble(server -> Math.pow(server.load() - mean, 2)).sum();
    double variance = squares / servers.size();
    result.loadVarianceSum += variance;
    result.longestQueueSum += servers.stream().mapToInt(Server::load).max().orElse(0);
    result.samples++;
    schedule(SAMPLE_INTERVAL, this::sample);
  }

  /** An instance with its decisions. */
  private final class Instance {
    private final String name;
    private final ReportCollector collector;
    private final TrafficDirector director;

    Instance(FleetMember member, ReportCollector collector, FleetView view) {
      name = member.name();
      this.collector = collector;
      director = new TrafficDirector(member, TrafficFixture.LOCATION, TrafficFixture.BOUNDS);
      director.apply(view, now);
    }

    void receive() {
      String object = "" + arrivals.nextInt(objectCount);
      AdmittedRequest request =
          new AdmittedRequest(
              new RequestAttributes(
                  "r" + arrivals.nextInt(),
                  "rota.example",
                  "/read/x",
                  Optional.empty(),
                  Optional.of(object),
                  OptionalLong.empty(),
                  Duration.ZERO),
              route,
              Optional.empty(),
              "desk",
              0,
              now,
              now + route.timeout().toNanos(),
              1);
      perform(request, director.nextStep(request, now));
    }

    private void perform(AdmittedRequest request, NextStep step) {
      switch (step) {
        case NextStep.Send send -> {
          Server server = serversByIdentifier.get(send.server().registration().identifier());
          long sent = now;
          Waiting waiting =
              new Waiting(
                  request.attributes().affinityKey().orElseThrow(),
                  outcome ->
                      schedule(
                          NETWORK_DELAY,
                          () ->
                              perform(
                                  request,
                                  director.sendEnded(request, send.server(), outcome, sent, now))));
          schedule(NETWORK_DELAY, () -> server.arrive(waiting));
        }
        case NextStep.Deliver unused -> {
          long latency = now - request.arrivedNanoseconds();
          result.answered++;
          result.latencySum += latency;
          result.late += latency > TARGET ? 1 : 0;
        }
        case NextStep.Wait unused ->
            throw new IllegalStateException("no requests wait without routes for large ones");
        case NextStep.Reject unused -> result.rejected++;
        case NextStep.Fail unused -> result.rejected++;
      }
    }

    /** Sends reports to the collector and gets the others', each with the network's delay. */
    void exchange() {
      schedule(EXCHANGE_INTERVAL, this::exchange);
      long sent = now;
      List<SharedServerReport> heard = director.takeReports(now);
      if (heard.isEmpty()) {
        return;
      }
      schedule(
          NETWORK_DELAY,
          () -> {
            collector.merge(name, heard, now);
            List<SharedServerReport> reports = collector.takeFor(name, now);
            result.messages += 2;
            result.reports += heard.size() + reports.size();
            schedule(NETWORK_DELAY, () -> director.applyReports(reports, sent));
          });
    }
  }

  private record Waiting(String object, Consumer<SendOutcome> end) {}

  /** A server with slots, a queue, and a memory of recent objects. */
  private final class Server {
    private final Queue<Waiting> queue = new ArrayDeque<>();
    private final LinkedHashSet<String> memory = new LinkedHashSet<>();
    private int running;
    private boolean slow;

    int load() {
      return running + queue.size();
    }

    void arrive(Waiting request) {
      if (running < SLOT_COUNT) {
        start(request);
      } else if (queue.size() < QUEUE_LIMIT) {
        queue.add(request);
      } else {
        request.end().accept(new SendOutcome.NotRun(false, report()));
      }
    }

    private void start(Waiting request) {
      running++;
      double work = WORK_MILLISECONDS * (slow ? SLOW_RATIO : 1);
      work *= memory.remove(request.object()) ? WARM_RATIO : 1;
      memory.add(request.object());
      if (memory.size() > MEMORY_OBJECTS) {
        memory.removeFirst();
      }
      schedule(
          (long) (work * MILLISECOND),
          () -> {
            running--;
            if (!queue.isEmpty()) {
              start(queue.remove());
            }
            request.end().accept(new SendOutcome.Answered(true, false, report()));
          });
    }

    private SendOutcome.ServerReport report() {
      OptionalLong speed = OptionalLong.of(slow ? Math.round(100 * SLOW_RATIO) : 100);
      return new SendOutcome.ServerReport(
          ServerLoad.of(
              OptionalLong.of(running),
              OptionalLong.of(queue.size()),
              OptionalLong.of(SLOT_COUNT),
              speed),
          OptionalLong.empty());
    }
  }
}
