package org.corianderweir.bench.steering;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.corianderweir.logic.admission.AdmissionRequest;
import org.corianderweir.logic.admission.AdmissionResult;
import org.corianderweir.logic.admission.Candidate;
import org.corianderweir.logic.admission.CapacityAdmission;
import org.corianderweir.logic.admission.WorkKind;
import org.corianderweir.logic.steering.CellConditionEvaluator;
import org.corianderweir.logic.steering.SteeringDecision;
import org.corianderweir.logic.steering.SteeringTable;
import org.corianderweir.logic.steering.SteeringTracker;
import org.corianderweir.logic.steering.grammar.SelectorParser;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Label;
import org.corianderweir.model.configuration.Selector;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time and allocation of steering a request, of a step of the selectors' weights, of
 * applying a revision of the configuration, and of admitting a request under shortage.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class SteeringBenchmark {
  private static final int SELECTOR_COUNT = 8;
  private static final int ZONES_PER_REGION = 4;
  private static final int SLOTS_PER_SERVER = 9;
  private static final int CONNECTION_LIMIT = 660;
  private static final int FIRST_PORT = 1_000;
  private static final int ORGANISATION_COUNT = 75;
  private static final int PRIORITY_COUNT = 3;
  private static final int LOAD = 7;
  private static final int SLOTS = 3;
  private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
  private static final WorkKind KIND = new WorkKind("lookup", "region", true);
  private static final CellConditionEvaluator.ServerView READY =
      server -> new CellConditionEvaluator.ServerCondition(true, true, true, 0.5);

  /** Number of availability zones. Each has five backend servers. */
  @Param({"6", "40"})
  public int zones;

  private final SplittableRandom random = new SplittableRandom(1);
  private final SteeringTracker tracker = new SteeringTracker("region-0", 0);
  private Configuration configuration = Configuration.EMPTY;
  private SteeringTable table = SteeringTable.EMPTY;
  private final CapacityAdmission admission = new CapacityAdmission();
  private final List<AdmissionRequest> requests = new ArrayList<>();
  private long nowNanoseconds;

  /** Creates the configuration and the steering table. */
  @Setup
  public void prepare() {
    List<AvailabilityZone> zoneList = new ArrayList<>();
    List<BackendServer> servers = new ArrayList<>();
    for (int zone = 0; zone < zones; zone++) {
      String name = "zone-" + zone;
      zoneList.add(new AvailabilityZone(name, "region-" + zone / ZONES_PER_REGION, List.of()));
      for (int server = 0; server < 5; server++) {
        servers.add(server(name, server));
      }
    }
    List<Selector> selectors = new ArrayList<>();
    for (int index = 0; index < SELECTOR_COUNT; index++) {
      selectors.add(
          SelectorParser.parse(
              "route s%d path /%d to service desk where server.tier = gold weight 80,"
                      .formatted(index, index)
                  + " where server.tier != gold weight 20"));
    }
    configuration =
        Configuration.builder()
            .zones(zoneList)
            .backendServers(servers)
            .selectors(selectors)
            .build();
    tracker.applyConfiguration(configuration, 0);
    table = tracker.step(READY, 0, 0);
    for (int index = 0; index < ORGANISATION_COUNT; index++) {
      requests.add(
          AdmissionRequest.builder()
              .organisation("organisation " + index)
              .priority(index % PRIORITY_COUNT)
              .target(433 * MILLISECOND, 433 * MILLISECOND)
              .deadlineLeft(2_707 * MILLISECOND)
              .mayWait(true)
              .build());
    }
  }

  private static BackendServer server(String zone, int number) {
    List<Label> labels = List.of(new Label("tier", number < 3 ? "gold" : "iron"));
    return new BackendServer(
        zone + "-" + number,
        "desk",
        zone,
        "127.0.0.1",
        FIRST_PORT + number,
        SLOTS_PER_SERVER,
        CONNECTION_LIMIT,
        false,
        labels);
  }

  /** Measures steering one request. */
  @Benchmark
  public SteeringDecision steer() {
    return table.steer("s3", random.nextDouble());
  }

  /** Measures one step of the weights of all selectors, 200 ms after the step before. */
  @Benchmark
  public SteeringTable step() {
    nowNanoseconds += TimeUnit.MILLISECONDS.toNanos(200);
    return tracker.step(READY, nowNanoseconds, nowNanoseconds);
  }

  /** Measures one decision under shortage, with what a report and an answer need. */
  @Benchmark
  public AdmissionResult admit() {
    nowNanoseconds += 80 * MILLISECOND;
    Candidate candidate = new Candidate(LOAD, SLOTS, 1, 1, admission.work(KIND, nowNanoseconds));
    AdmissionRequest request = requests.get(random.nextInt(ORGANISATION_COUNT));
    AdmissionResult result =
        admission.decide("lookup/region", request, candidate, random, nowNanoseconds);
    admission.recordReport("lookup/region", LOAD, SLOTS, nowNanoseconds);
    admission.recordAnswer(
        "lookup/region", KIND, candidate, 433 * MILLISECOND, 900 * MILLISECOND, nowNanoseconds);
    return result;
  }

  /** Measures applying a revision of the configuration. */
  @Benchmark
  public void adopt() {
    tracker.applyConfiguration(configuration, 0);
  }
}
