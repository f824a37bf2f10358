package org.corianderweir.bench.scenario;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.corianderweir.bench.backend.JournalEntry;
import org.corianderweir.bench.deployment.DeploymentLayout;
import org.corianderweir.bench.load.Arrival;
import org.corianderweir.bench.load.ArrivalSchedule;
import org.corianderweir.bench.load.CallJournal;
import org.corianderweir.bench.load.CallerKeys;
import org.corianderweir.bench.load.CallerZones;
import org.corianderweir.bench.load.LoadGenerator;
import org.corianderweir.bench.load.LoadPlan;
import org.corianderweir.bench.observer.Evidence;
import org.corianderweir.bench.observer.Incident;
import org.corianderweir.bench.observer.RevisionSample;
import org.corianderweir.bench.process.Fleet;

/** Starts a fleet, runs a scenario against it and collects the evidence. */
public final class ScenarioRun {
  private static final Duration COLD_DURATION = Duration.ofSeconds(3);
  private static final Duration WARM_UP_DURATION = Duration.ofSeconds(8);
  private static final Duration END_TIMEOUT = Duration.ofSeconds(25);
  private static final Duration SURGE_BEGIN = Duration.ofSeconds(4);
  private static final Duration SURGE_END = Duration.ofSeconds(14);

  private final RunOptions options;
  private final DeploymentLayout layout;
  private final CallJournal calls = new CallJournal();
  private final IncidentLog incidents = new IncidentLog();
  private final CallerKeys keys = new CallerKeys();

  /**
   * The outcome of a run.
   *
   * @param evidence everything that was recorded
   * @param startNanoseconds monotonic time of the end of the warm-up
   * @param allEnded whether all requests ended before the end of the run
   */
  public record Outcome(Evidence evidence, long startNanoseconds, boolean allEnded) {}

  /** Prepares a run. */
  public ScenarioRun(RunOptions options) {
    this.options = options;
    layout = new DeploymentLayout(options.deployment(), options.firstPort());
  }

  /** Runs the scenario; all processes have ended when it returns. */
  public Outcome run() {
    Fleet.Options fleetOptions =
        new Fleet.Options(options.logDirectory(), true, true, COLD_DURATION);
    try (Fleet fleet = new Fleet(layout, fleetOptions)) {
      fleet.start();
      Operators operators = new Operators(fleet, incidents);
      new FleetSetup(fleet, operators).run(keys);
      return runLoad(fleet, operators);
    }
  }

  private Outcome runLoad(Fleet fleet, Operators operators) {
    List<Arrival> arrivals = ArrivalSchedule.generate(options.deployment(), loadPlan());
    long warmUpStartNanoseconds = System.nanoTime();
    long startNanoseconds = warmUpStartNanoseconds + WARM_UP_DURATION.toNanos();
    boolean allEnded;
    List<RevisionSample> revisions;
    try (CallerZones callers = callers(fleet);
        RevisionSampler sampler = new RevisionSampler(fleet)) {
      LoadGenerator load = new LoadGenerator(arrivals, callers, warmUpStartNanoseconds);
      load.start();
      try (ActionRunner actions = new ActionRunner(fleet, operators, incidents)) {
        sampler.start();
        awaitTime(startNanoseconds);
        actions.schedule(options.scenario().actions());
      }
      allEnded = load.awaitEnd(options.duration().plus(END_TIMEOUT));
      sampler.close();
      revisions = sampler.samples();
    }
    return new Outcome(evidence(fleet, revisions), startNanoseconds, allEnded);
  }

  private CallerZones callers(Fleet fleet) {
    return options.baseline()
        ? CallerZones.direct(layout, fleet.advertisedServers(), options.seed(), calls)
        : CallerZones.steered(layout, fleet.advertisedInstances(), options.seed(), keys, calls);
  }

  private LoadPlan loadPlan() {
    Scenario scenario = options.scenario();
    List<LoadPlan.Surge> surges =
        scenario.surgeFactor() > 0
            ? List.of(
                new LoadPlan.Surge(
                    options.deployment().organisations().getFirst().name(),
                    WARM_UP_DURATION.plus(SURGE_BEGIN),
                    WARM_UP_DURATION.plus(SURGE_END),
                    scenario.surgeFactor()))
            : List.of();
    Optional<String> zone =
        scenario.singleZone()
            ? Optional.of(options.deployment().zones().getFirst().name())
            : Optional.empty();
    return new LoadPlan(
        options.seed(),
        WARM_UP_DURATION.plus(options.duration()),
        options.loadFactor(),
        surges,
        zone);
  }

  private Evidence evidence(Fleet fleet, List<RevisionSample> revisions) {
    List<JournalEntry> journal = fleet.journal().stream().map(this::endedByKill).toList();
    return new Evidence(
        options.deployment(),
        layout.backendServers(),
        calls.records(),
        journal,
        revisions,
        fleet.networkConditions().meter().samples(),
        incidents.incidents());
  }

  /** Ends a request that was running when its server was killed, which could not record the end. */
  private JournalEntry endedByKill(JournalEntry entry) {
    return incidents.incidents().stream()
        .filter(Incident.ServerKilled.class::isInstance)
        .map(Incident.ServerKilled.class::cast)
        .filter(killed -> killed.server().equals(entry.server()))
        .filter(killed -> entry.outcome() == JournalEntry.Outcome.RUNNING)
        .map(killed -> entry.ended(JournalEntry.Outcome.ABANDONED, killed.atNanoseconds()))
        .findFirst()
        .orElse(entry);
  }

  private static void awaitTime(long nanoseconds) {
    try {
      TimeUnit.NANOSECONDS.sleep(nanoseconds - System.nanoTime());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
