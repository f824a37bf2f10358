package org.corianderweir.bench.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.daemon.entry.StoreUpdates;
import org.corianderweir.daemon.entry.StoreWatcher;
import org.corianderweir.kernel.TaskScheduler;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.platform.MetadataStore;
import org.corianderweir.logic.relay.StoreSnapshotPart;
import org.corianderweir.logic.relay.StoreUpdate;
import org.corianderweir.logic.traffic.FleetFacts;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.store.Lease;
import org.corianderweir.model.store.StorePage;
import org.corianderweir.model.store.WatchResult;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.ServerRegistration;

/** An entry instance in a simulation: the daemon's watcher of the store, its clock and network. */
final class SimulatedInstance implements TaskScheduler, TimeSource, MetadataStore, StoreUpdates {
  private static final Duration LEASE_GRACE_PERIOD = Duration.ofMillis(2_300);
  private static final long LIST_TIMEOUT_NANOSECONDS = Duration.ofMillis(1_500).toNanos();
  private static final long WATCH_MARGIN_NANOSECONDS = Duration.ofMillis(600).toNanos();

  private final RelaySimulation simulation;
  private final FleetMember member;
  private final StoreWatcher watcher;
  private final List<Runnable> heldTasks = new ArrayList<>();
  private final Map<String, Long> latestStarts = new HashMap<>();
  private Map<String, ServerRegistration> servers = Map.of();
  private StorePath storePath = StorePath.SOUND;
  private boolean running = true;
  private boolean paused;
  private boolean linked = true;
  private long pausedSinceNanoseconds;
  private long pausedNanoseconds;
  private long unsoundUntilNanoseconds;

  /** The way from an instance to the store. */
  enum StorePath {
    /** Calls are answered. */
    SOUND,
    /** Calls are refused. */
    REFUSED,
    /** Calls get no answer. */
    SILENT
  }

  SimulatedInstance(RelaySimulation simulation, FleetMember member) {
    this.simulation = simulation;
    this.member = member;
    unsoundUntilNanoseconds = simulation.scheduler().nowNanoseconds();
    watcher =
        new StoreWatcher(
            this,
            this,
            new EventLog(member.name(), this),
            this,
            member,
            new FleetFacts(new SimulationSchema(), LEASE_GRACE_PERIOD),
            this::viewChanged);
    watcher.connect(this);
    watcher.start();
  }

  FleetMember member() {
    return member;
  }

  Map<String, ServerRegistration> servers() {
    return servers;
  }

  boolean isRunning() {
    return running;
  }

  boolean isWatching() {
    return watcher.isWatching();
  }

  /** Returns since when the instance itself and its way to the store have been sound. */
  long soundSinceNanoseconds() {
    return !running || paused || storePath != StorePath.SOUND
        ? Long.MAX_VALUE
        : unsoundUntilNanoseconds;
  }

  void setStorePath(StorePath path) {
    storePath = path;
    unsoundUntilNanoseconds = simulation.scheduler().nowNanoseconds();
  }

  void setLinked(boolean newLinked) {
    linked = newLinked;
  }

  void kill() {
    running = false;
  }

  void pause() {
    if (!paused) {
      paused = true;
      pausedSinceNanoseconds = simulation.scheduler().nowNanoseconds();
    }
  }

  void resume() {
    if (paused) {
      paused = false;
      unsoundUntilNanoseconds = simulation.scheduler().nowNanoseconds();
      pausedNanoseconds += unsoundUntilNanoseconds - pausedSinceNanoseconds;
      List<Runnable> tasks = List.copyOf(heldTasks);
      heldTasks.clear();
      tasks.forEach(this::execute);
    }
  }

  @Override
  public long monotonicNanoseconds() {
    return simulation.scheduler().nowNanoseconds() - pausedNanoseconds;
  }

  @Override
  public long wallMilliseconds() {
    return Duration.ofNanos(simulation.scheduler().nowNanoseconds()).toMillis();
  }

  @Override
  public void execute(Runnable task) {
    simulation.scheduler().schedule(0, () -> runOrHold(task));
  }

  @Override
  public void schedule(Duration delay, Runnable task) {
    simulation.scheduler().schedule(delay.toNanos(), () -> runOrHold(task));
  }

  private void runOrHold(Runnable task) {
    if (paused) {
      heldTasks.add(task);
    } else if (running) {
      task.run();
    }
  }

  @Override
  public CompletableFuture<StorePage> list(String prefix, Optional<String> after) {
    return call(
        LIST_TIMEOUT_NANOSECONDS,
        answer ->
            answer.complete(
                new StorePage(simulation.store().items(), false, simulation.store().revision())));
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long revision, Duration maximumWait) {
    return call(
        maximumWait.toNanos() + WATCH_MARGIN_NANOSECONDS,
        answer -> {
          if (maximumWait.isZero() || simulation.store().revision() > revision) {
            answerWatch(answer, revision);
          } else {
            simulation.store().onChange(() -> answerWatch(answer, revision));
            simulation
                .scheduler()
                .schedule(maximumWait.toNanos(), () -> answerWatch(answer, revision));
          }
        });
  }

  private void answerWatch(CompletableFuture<WatchResult> answer, long revision) {
    if (!answer.isDone()) {
      answer.complete(simulation.store().watchResult(revision));
    }
  }

  /** Calls the store and takes its answer over the network, both of which can be lost. */
  private <T> CompletableFuture<T> call(
      long timeoutNanoseconds, Consumer<CompletableFuture<T>> store) {
    simulation.countCall();
    CompletableFuture<T> result = new CompletableFuture<>();
    long way = simulation.storeDelayNanoseconds(this);
    CompletableFuture<T> atStore = new CompletableFuture<>();
    atStore.whenComplete(
        (value, failure) ->
            simulation
                .scheduler()
                .schedule(
                    way,
                    () -> {
                      if (storePath == StorePath.SOUND) {
                        result.complete(value);
                      }
                    }));
    simulation.scheduler().schedule(way, () -> arrive(atStore, result, store));
    simulation
        .scheduler()
        .schedule(
            timeoutNanoseconds,
            () -> result.completeExceptionally(failure(ErrorCode.DEADLINE_EXCEEDED)));
    return result;
  }

  private <T> void arrive(
      CompletableFuture<T> atStore,
      CompletableFuture<T> result,
      Consumer<CompletableFuture<T>> store) {
    switch (storePath) {
      case SOUND -> store.accept(atStore);
      case REFUSED -> result.completeExceptionally(failure(ErrorCode.PLATFORM_UNAVAILABLE));
      default -> {
        // A silent store does not answer.
      }
    }
  }

  private static WeirException failure(ErrorCode code) {
    return new WeirException(code, "the simulated store does not answer");
  }

  @Override
  public void sendToZone(StoreUpdate update) {
    simulation.others(this).forEach(other -> simulation.deliver(this, other, update));
  }

  @Override
  public void send(String instance, StoreUpdate update) {
    other(instance).ifPresent(other -> simulation.deliver(this, other, update));
  }

  @Override
  public void send(String instance, StoreSnapshotPart part) {
    other(instance).ifPresent(other -> simulation.deliver(this, other, part));
  }

  @Override
  public void requestChanges(String instance, long afterRevision) {
    other(instance).ifPresent(other -> simulation.deliverRequest(this, other, afterRevision));
  }

  private Optional<SimulatedInstance> other(String name) {
    return simulation.others(this).stream()
        .filter(other -> other.member().name().equals(name))
        .findFirst();
  }

  boolean isLinked() {
    return linked && running;
  }

  void receive(String sender, StoreUpdate update) {
    runOrHold(() -> watcher.receive(sender, update));
  }

  void receive(String sender, StoreSnapshotPart part) {
    runOrHold(() -> watcher.receive(sender, part));
  }

  void receiveRequest(String sender, long afterRevision) {
    runOrHold(() -> watcher.answerRequest(sender, afterRevision));
  }

  private void viewChanged(FleetView view) {
    view.servers()
        .forEach(
            (name, server) -> {
              long start = server.startedMilliseconds();
              long latest = latestStarts.getOrDefault(name, Long.MIN_VALUE);
              boolean returned = !servers.containsKey(name) && start == latest;
              if (start < latest || returned) {
                simulation.reportBackwards(member.name() + " uses " + name + " of start " + start);
              }
              latestStarts.put(name, Math.max(latest, start));
            });
    servers = view.servers();
    simulation.viewChanged(this);
  }

  @Override
  public CompletableFuture<Lease> acquireLease(Duration duration) {
    throw new UnsupportedOperationException("the simulation writes the members itself");
  }

  @Override
  public CompletableFuture<Boolean> renewLease(long lease) {
    throw new UnsupportedOperationException("the simulation writes the members itself");
  }

  @Override
  public CompletableFuture<Void> endLease(long lease) {
    throw new UnsupportedOperationException("the simulation writes the members itself");
  }

  @Override
  public CompletableFuture<Boolean> write(String key, byte[] value, long lease) {
    throw new UnsupportedOperationException("the simulation writes the members itself");
  }

  @Override
  public CompletableFuture<Boolean> create(String key, byte[] value) {
    throw new UnsupportedOperationException("the simulation writes the members itself");
  }
}
