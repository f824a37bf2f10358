package org.corianderweir.bench.scenario;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.Phaser;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import org.corianderweir.bench.backend.ServerSwitches;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.network.NetworkConditions;
import org.corianderweir.bench.observer.Incident;
import org.corianderweir.bench.process.Fleet;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.topology.EntryInstance;

/** Runs the actions of a scenario at their times and ends those that have a duration. */
final class ActionRunner implements AutoCloseable {
  private static final int THREAD_COUNT = 4;
  private static final long STOP_TIMEOUT_SECONDS = 70;

  private final Fleet fleet;
  private final Operators operators;
  private final IncidentLog incidents;
  private final Phaser pendingActions = new Phaser(1);
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          THREAD_COUNT, task -> Thread.ofPlatform().daemon().name("actions").unstarted(task));

  ActionRunner(Fleet fleet, Operators operators, IncidentLog incidents) {
    this.fleet = fleet;
    this.operators = operators;
    this.incidents = incidents;
  }

  void schedule(List<Scenario.TimedAction> actions) {
    for (Scenario.TimedAction timed : actions) {
      scheduleAfter(timed.at(), () -> run(timed.action()));
    }
  }

  /** Waits until all actions, and the ends of those with a duration, have run. */
  @Override
  public void close() {
    int phase = pendingActions.arrive();
    try {
      pendingActions.awaitAdvanceInterruptibly(phase, STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (TimeoutException hangs) {
      throw new IllegalStateException("an action did not end", hangs);
    } finally {
      timer.shutdownNow();
    }
  }

  private void run(Action action) {
    switch (action) {
      case Action.WithdrawKey withdraw -> operators.withdrawKey(keyOf(withdraw.organisation()));
      case Action.DrainServer drain -> operators.drain(server(drain.server()).name());
      case Action.ShiftRoute shift -> operators.shiftOpenRoute(zone(shift.zone()).region());
      case Action.IncrementRevision increment -> operators.incrementRevision(increment.instance());
      case Action.RaceOperators race -> operators.race(race.operators());
      case Action.StopInstance stop -> stop(instance(stop.instance()));
      case Action.KillInstance kill -> kill(instance(kill.instance()), kill.restartAfter());
      case Action.FreezeInstance freeze -> freeze(instance(freeze.instance()), freeze.duration());
      case Action.KillServers kill -> killServers(kill.zone());
      case Action.FreezeServers freeze -> freezeServers(freeze);
      case Action.SwitchServer change -> switchServer(change);
      case Action.TruncateResponses truncate -> truncateResponses(truncate);
      case Action.PartitionZone partition -> partitionZone(partition);
      case Action.BlockOneWay block -> blockOneWay(block);
      case Action.PlatformOutage outage -> platformOutage(outage.duration());
      case Action.PlatformSlow slow -> slowPlatform(slow);
      case Action.BlockPlatformResponses block -> blockPlatformResponses(block.duration());
    }
  }

  private String keyOf(int organisation) {
    return FleetSetup.keyIdentifier(
        fleet.layout().deployment().organisations().get(organisation).name());
  }

  private void stop(EntryInstance instance) {
    Process process = fleet.processes().get(instance.name());
    long requested = System.nanoTime();
    process.destroy();
    boolean ended = false;
    try {
      ended = process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    int status = ended ? process.exitValue() : -1;
    long now = System.nanoTime();
    incidents.add(new Incident.InstanceStopped(instance.name(), requested, now, status));
  }

  private void kill(EntryInstance instance, Duration restartAfter) {
    long beginNanoseconds = System.nanoTime();
    fleet.processes().get(instance.name()).destroyForcibly();
    scheduleAfter(
        restartAfter,
        () -> {
          fleet.startInstance(instance);
          incidents.add(
              new Incident.InstanceExcused(instance.name(), beginNanoseconds, System.nanoTime()));
        });
  }

  private void freeze(EntryInstance instance, Duration duration) {
    long beginNanoseconds = System.nanoTime();
    fleet.processes().freeze(instance.name());
    scheduleAfter(
        duration,
        () -> {
          fleet.processes().resume(instance.name());
          incidents.add(
              new Incident.InstanceExcused(instance.name(), beginNanoseconds, System.nanoTime()));
        });
  }

  private void killServers(int zone) {
    fleet.processes().get(serverProcess(zone)).destroyForcibly();
    long now = System.nanoTime();
    serversOf(zone).forEach(server -> incidents.add(new Incident.ServerKilled(server.name(), now)));
  }

  private Stream<BackendServer> serversOf(int zone) {
    String name = zone(zone).name();
    return fleet.layout().backendServers().stream()
        .filter(server -> server.availabilityZone().equals(name));
  }

  private void freezeServers(Action.FreezeServers freeze) {
    String process = serverProcess(freeze.zone());
    long beginNanoseconds = System.nanoTime();
    fleet.processes().freeze(process);
    scheduleAfter(
        freeze.duration(),
        () -> {
          fleet.processes().resume(process);
          serversOf(freeze.zone()).forEach(server -> recordServerFault(server, beginNanoseconds));
        });
  }

  private void switchServer(Action.SwitchServer change) {
    BackendServer server = server(change.server());
    long beginNanoseconds = System.nanoTime();
    fleet.client().setSwitches(server, change.switches());
    scheduleAfter(
        change.duration(),
        () -> {
          fleet.client().setSwitches(server, ServerSwitches.NORMAL);
          recordServerFault(server, beginNanoseconds);
        });
  }

  private void truncateResponses(Action.TruncateResponses truncate) {
    BackendServer server = server(truncate.server());
    fleet.truncateResponses(server, truncate.limitBytes());
    scheduleAfter(truncate.duration(), () -> fleet.truncateResponses(server, Long.MAX_VALUE));
  }

  private void recordServerFault(BackendServer server, long beginNanoseconds) {
    incidents.add(new Incident.ServerFaulty(server.name(), beginNanoseconds, System.nanoTime()));
  }

  private void partitionZone(Action.PartitionZone partition) {
    Deployment.Zone zone = zone(partition.zone());
    long beginNanoseconds = System.nanoTime();
    setZonePartitioned(partition, zone, true);
    scheduleAfter(
        partition.duration(),
        () -> {
          setZonePartitioned(partition, zone, false);
          recordZoneExcused(zone, beginNanoseconds);
        });
  }

  private void setZonePartitioned(
      Action.PartitionZone partition, Deployment.Zone zone, boolean partitioned) {
    if (partition.platform()) {
      fleet.networkConditions().setPartitioned(zone.name(), fleet.platformLocation(), partitioned);
    }
    if (partition.otherZones()) {
      for (Deployment.Zone other : fleet.layout().deployment().zones()) {
        if (!other.equals(zone)) {
          fleet.networkConditions().setPartitioned(zone.name(), other.name(), partitioned);
        }
      }
    }
  }

  private void blockOneWay(Action.BlockOneWay block) {
    NetworkConditions.Direction direction =
        new NetworkConditions.Direction(zone(block.fromZone()).name(), zone(block.toZone()).name());
    fleet.networkConditions().setBlocked(direction, true);
    scheduleAfter(block.duration(), () -> fleet.networkConditions().setBlocked(direction, false));
  }

  private void platformOutage(Duration duration) {
    setPlatformPartitioned(true);
    scheduleAfter(duration, () -> setPlatformPartitioned(false));
  }

  private void setPlatformPartitioned(boolean partitioned) {
    for (Deployment.Zone zone : fleet.layout().deployment().zones()) {
      fleet.networkConditions().setPartitioned(zone.name(), fleet.platformLocation(), partitioned);
    }
  }

  private void slowPlatform(Action.PlatformSlow slow) {
    for (Deployment.Zone zone : fleet.layout().deployment().zones()) {
      NetworkConditions.Direction responseDirection =
          new NetworkConditions.Direction(fleet.platformLocation(), zone.name());
      long previousDelayNanoseconds =
          fleet.networkConditions().state(responseDirection).delayNanoseconds();
      fleet.networkConditions().setDelay(responseDirection, slow.oneWayDelay().toNanos());
      scheduleAfter(
          slow.duration(),
          () -> fleet.networkConditions().setDelay(responseDirection, previousDelayNanoseconds));
    }
  }

  private void blockPlatformResponses(Duration duration) {
    for (Deployment.Zone zone : fleet.layout().deployment().zones()) {
      NetworkConditions.Direction responseDirection =
          new NetworkConditions.Direction(fleet.platformLocation(), zone.name());
      fleet.networkConditions().setBlocked(responseDirection, true);
      scheduleAfter(duration, () -> fleet.networkConditions().setBlocked(responseDirection, false));
    }
  }

  private void recordZoneExcused(Deployment.Zone zone, long beginNanoseconds) {
    long now = System.nanoTime();
    fleet.layout().entryInstances().stream()
        .filter(instance -> instance.availabilityZone().equals(zone.name()))
        .map(instance -> new Incident.InstanceExcused(instance.name(), beginNanoseconds, now))
        .forEach(incidents::add);
  }

  private void scheduleAfter(Duration delay, Runnable task) {
    pendingActions.register();
    timer.schedule(() -> runAndDeregister(task), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void runAndDeregister(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException failure) {
      incidents.add(new Incident.ActionFailed(String.valueOf(failure), System.nanoTime()));
    } finally {
      pendingActions.arriveAndDeregister();
    }
  }

  private String serverProcess(int zone) {
    return fleet.serverProcess(zone(zone).name());
  }

  private Deployment.Zone zone(int number) {
    return fleet.layout().deployment().zones().get(number);
  }

  private BackendServer server(int number) {
    return fleet.layout().backendServers().get(number);
  }

  private EntryInstance instance(int number) {
    return fleet.layout().entryInstances().get(number);
  }
}
