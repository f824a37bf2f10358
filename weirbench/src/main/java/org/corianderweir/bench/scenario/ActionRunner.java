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
import org.corianderweir.bench.network.NetworkRules;
import org.corianderweir.bench.observer.Incident;
import org.corianderweir.bench.process.Fleet;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.topology.EntryInstance;

/** Does the actions of a scenario at their times, and undoes those that last for a while. */
final class ActionRunner implements AutoCloseable {
  private static final int THREADS = 4;
  private static final long STOP_LIMIT_SECONDS = 70;

  private final Fleet fleet;
  private final Operators operators;
  private final IncidentLog incidents;
  private final Phaser underway = new Phaser(1);
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          THREADS, task -> Thread.ofPlatform().daemon().name("actions").unstarted(task));

  ActionRunner(Fleet fleet, Operators operators, IncidentLog incidents) {
    this.fleet = fleet;
    this.operators = operators;
    this.incidents = incidents;
  }

  void schedule(List<Scenario.TimedAction> actions) {
    for (Scenario.TimedAction timed : actions) {
      after(timed.at(), () -> run(timed.action()));
    }
  }

  /** Waits until everything was done and undone. */
  @Override
  public void close() {
    int phase = underway.arrive();
    try {
      underway.awaitAdvanceInterruptibly(phase, STOP_LIMIT_SECONDS, TimeUnit.SECONDS);
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
      case Action.TouchConfiguration touch -> operators.touch(touch.instance());
      case Action.RaceOperators race -> operators.race(race.operators());
      case Action.StopInstance stop -> stop(instance(stop.instance()));
      case Action.KillInstance kill -> kill(instance(kill.instance()), kill.restartAfter());
      case Action.FreezeInstance freeze -> freeze(instance(freeze.instance()), freeze.time());
      case Action.KillServers kill -> killServers(kill.zone());
      case Action.FreezeServers freeze -> freezeServers(freeze);
      case Action.SwitchServer change -> switchServer(change);
      case Action.TruncateAnswers truncate -> truncate(truncate);
      case Action.CutZone cut -> cut(cut);
      case Action.LoseOneWay lose -> loseOneWay(lose);
      case Action.PlatformOutage outage -> platformOutage(outage.time());
      case Action.PlatformSlow slow -> slowPlatform(slow);
      case Action.LosePlatformAnswers lose -> losePlatformAnswers(lose.time());
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
      ended = process.waitFor(STOP_LIMIT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    int status = ended ? process.exitValue() : -1;
    long now = System.nanoTime();
    incidents.add(new Incident.InstanceStopped(instance.name(), requested, now, status));
  }

  private void kill(EntryInstance instance, Duration restartAfter) {
    long from = System.nanoTime();
    fleet.processes().get(instance.name()).destroyForcibly();
    after(
        restartAfter,
        () -> {
          fleet.startInstance(instance);
          incidents.add(new Incident.InstanceExcused(instance.name(), from, System.nanoTime()));
        });
  }

  private void freeze(EntryInstance instance, Duration time) {
    long from = System.nanoTime();
    fleet.processes().freeze(instance.name());
    after(
        time,
        () -> {
          fleet.processes().resume(instance.name());
          incidents.add(new Incident.InstanceExcused(instance.name(), from, System.nanoTime()));
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
    long from = System.nanoTime();
    fleet.processes().freeze(process);
    after(
        freeze.time(),
        () -> {
          fleet.processes().resume(process);
          serversOf(freeze.zone()).forEach(server -> noteFaulty(server, from));
        });
  }

  private void switchServer(Action.SwitchServer change) {
    BackendServer server = server(change.server());
    long from = System.nanoTime();
    fleet.client().setSwitches(server, change.switches());
    after(
        change.time(),
        () -> {
          fleet.client().setSwitches(server, ServerSwitches.NORMAL);
          noteFaulty(server, from);
        });
  }

  private void truncate(Action.TruncateAnswers truncate) {
    BackendServer server = server(truncate.server());
    fleet.limitAnswers(server, truncate.bytes());
    after(truncate.time(), () -> fleet.limitAnswers(server, Long.MAX_VALUE));
  }

  private void noteFaulty(BackendServer server, long from) {
    incidents.add(new Incident.ServerFaulty(server.name(), from, System.nanoTime()));
  }

  private void cut(Action.CutZone cut) {
    Deployment.Zone zone = zone(cut.zone());
    long from = System.nanoTime();
    setCut(cut, zone, true);
    after(
        cut.time(),
        () -> {
          setCut(cut, zone, false);
          excuseZone(zone, from);
        });
  }

  private void setCut(Action.CutZone cut, Deployment.Zone zone, boolean value) {
    if (cut.platform()) {
      fleet.rules().setCut(zone.name(), fleet.platformPlace(), value);
    }
    if (cut.otherZones()) {
      for (Deployment.Zone other : fleet.layout().deployment().zones()) {
        if (!other.equals(zone)) {
          fleet.rules().setCut(zone.name(), other.name(), value);
        }
      }
    }
  }

  private void loseOneWay(Action.LoseOneWay lose) {
    NetworkRules.Direction direction =
        new NetworkRules.Direction(zone(lose.fromZone()).name(), zone(lose.toZone()).name());
    fleet.rules().setBlocked(direction, true);
    after(lose.time(), () -> fleet.rules().setBlocked(direction, false));
  }

  private void platformOutage(Duration time) {
    setPlatformCut(true);
    after(time, () -> setPlatformCut(false));
  }

  private void setPlatformCut(boolean cut) {
    for (Deployment.Zone zone : fleet.layout().deployment().zones()) {
      fleet.rules().setCut(zone.name(), fleet.platformPlace(), cut);
    }
  }

  private void slowPlatform(Action.PlatformSlow slow) {
    for (Deployment.Zone zone : fleet.layout().deployment().zones()) {
      NetworkRules.Direction back = new NetworkRules.Direction(fleet.platformPlace(), zone.name());
      long usual = fleet.rules().state(back).delayNanoseconds();
      fleet.rules().setDelay(back, slow.oneWayDelay().toNanos());
      after(slow.time(), () -> fleet.rules().setDelay(back, usual));
    }
  }

  private void losePlatformAnswers(Duration time) {
    for (Deployment.Zone zone : fleet.layout().deployment().zones()) {
      NetworkRules.Direction back = new NetworkRules.Direction(fleet.platformPlace(), zone.name());
      fleet.rules().setBlocked(back, true);
      after(time, () -> fleet.rules().setBlocked(back, false));
    }
  }

  private void excuseZone(Deployment.Zone zone, long from) {
    long now = System.nanoTime();
    fleet.layout().entryInstances().stream()
        .filter(instance -> instance.availabilityZone().equals(zone.name()))
        .map(instance -> new Incident.InstanceExcused(instance.name(), from, now))
        .forEach(incidents::add);
  }

  private void after(Duration delay, Runnable task) {
    underway.register();
    timer.schedule(() -> runAndLeave(task), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void runAndLeave(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException failure) {
      incidents.add(new Incident.ActionFailed(String.valueOf(failure), System.nanoTime()));
    } finally {
      underway.arriveAndDeregister();
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
